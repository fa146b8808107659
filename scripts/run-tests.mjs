/*
 * Runs all compiled test files, or those whose path contains one of the arguments. Each
 * file runs in its own process, several in parallel, the slowest first. With --record,
 * writes the measured durations to test-durations.json.
 */
import {Buffer} from 'node:buffer';
import {fork} from 'node:child_process';
import {existsSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

const ROOT = path.resolve(import.meta.dirname, '..');
const KNOWN_RED_FILE = path.join(ROOT, 'KNOWN-RED.txt');
/** Recorded duration of each test file, in seconds; used only to order the files. */
const DURATIONS_FILE = path.join(ROOT, 'scripts', 'test-durations.json');
const FILE_RUNNER = path.join(import.meta.dirname, 'run-test-file.mjs');
/**
 * CPU cores per test file that runs in parallel. Most files wait rather than compute, but
 * some start a dozen processes.
 */
const CORES_PER_FILE = 2;
const MS_PER_SECOND = 1_000;
/** Time for the output of a file to end after its process, in milliseconds. */
const OUTPUT_END_MS = 5_000;

/**
 * Returns the path of the source of a compiled file. If the source does not exist, the
 * compiled file is left over from another branch.
 */
function findSourcePath(compiled) {
  return compiled.replace('/lib/test/', '/test/').replace(/\.js$/, '.ts');
}

function findTestFiles(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const fullPath = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return findTestFiles(fullPath);
    }
    return entry.name.endsWith('.test.js') &&
      existsSync(findSourcePath(fullPath))
      ? [fullPath]
      : [];
  });
}

function findPackageFolders() {
  const {workspaces} = JSON.parse(
    readFileSync(path.join(ROOT, 'package.json'), 'utf8'),
  );
  return workspaces.flatMap(pattern => {
    const parentFolder = path.join(ROOT, pattern.replace('/*', ''));
    return readdirSync(parentFolder).map(name => path.join(parentFolder, name));
  });
}

/** Reads the titles of the tests that may fail, which follow `test:` in KNOWN-RED.txt. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim()),
  );
}

function readDurations() {
  return existsSync(DURATIONS_FILE)
    ? JSON.parse(readFileSync(DURATIONS_FILE, 'utf8'))
    : {};
}

const shouldRecord = process.argv.includes('--record');
const pathParts = process.argv
  .slice(2)
  .filter(argument => argument !== '--record');
const durations = readDurations();
const readDuration = file => durations[path.relative(ROOT, file)] ?? 0;
const files = findPackageFolders()
  .filter(folder => existsSync(path.join(folder, 'package.json')))
  .map(folder => path.join(folder, 'lib', 'test'))
  .filter(folder => existsSync(folder))
  .flatMap(folder => findTestFiles(folder))
  .filter(
    file =>
      pathParts.length === 0 || pathParts.some(part => file.includes(part)),
  )
  .sort((a, b) => readDuration(b) - readDuration(a));

const knownRedTitles = readKnownRed();
let passedCount = 0;
let failedCount = 0;
const failedKnownRed = [];
const failureLines = [];

/** Runs a file in its own process; prints all of its output when the process exits. */
function runFile(file) {
  const name = path.relative(ROOT, file);
  const startedAt = performance.now();
  return new Promise(resolve => {
    const child = fork(FILE_RUNNER, [file], {
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
    });
    const output = [];
    let outcome;
    child.stdout.on('data', chunk => output.push(chunk));
    child.stderr.on('data', chunk => output.push(chunk));
    child.on('message', message => {
      outcome = message;
    });
    child.on('exit', () => {
      // A process that the file has left behind holds the output open.
      const timer = setTimeout(() => {
        outcome = {
          passed: outcome?.passed ?? 0,
          failed: [...(outcome?.failed ?? []), 'left a process behind'],
        };
        child.stdout.destroy();
        child.stderr.destroy();
      }, OUTPUT_END_MS);
      child.on('close', () => clearTimeout(timer));
    });
    child.on('close', code => {
      durations[name] = Math.ceil(
        (performance.now() - startedAt) / MS_PER_SECOND,
      );
      console.log(`${name} (${durations[name]} s)`);
      process.stdout.write(Buffer.concat(output));
      recordOutcome(
        name,
        outcome ?? {
          passed: 0,
          failed: [`exited with code ${code} without an outcome`],
        },
      );
      resolve();
    });
  });
}

function recordOutcome(name, outcome) {
  passedCount += outcome.passed;
  for (const title of outcome.failed) {
    if (knownRedTitles.has(title)) {
      failedKnownRed.push(title);
    } else {
      failedCount += 1;
      failureLines.push(`${name}: ${title}`);
    }
  }
}

async function runQueue(queue) {
  for (let file = queue.shift(); file; file = queue.shift()) {
    await runFile(file);
  }
}

const queue = [...files];
const parallelFileCount = Math.max(
  1,
  Math.floor(os.availableParallelism() / CORES_PER_FILE),
);
await Promise.all(
  Array.from({length: parallelFileCount}, () => runQueue(queue)),
);
if (shouldRecord) {
  const sorted = Object.entries(durations).sort(([a], [b]) => (a < b ? -1 : 1));
  writeFileSync(
    DURATIONS_FILE,
    `${JSON.stringify(Object.fromEntries(sorted), null, 2)}\n`,
  );
}
failedKnownRed.forEach(title =>
  console.log(`known red, not counted as a failure: ${title}`),
);
failureLines.forEach(line => console.log(`failed: ${line}`));
console.log(`${passedCount} passed, ${failedCount} failed`);
process.exit(failedCount === 0 && passedCount > 0 ? 0 : 1);

/*
 * Runs every compiled test file, or those whose path holds one of the arguments: each
 * in a process of its own, several side by side, the longest first.
 */
import {Buffer} from 'node:buffer';
import {fork} from 'node:child_process';
import {existsSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';

const ROOT = path.resolve(import.meta.dirname, '..');
const KNOWN_RED_FILE = path.join(ROOT, 'KNOWN-RED.txt');
/** Seconds that each file took when last recorded; they only order the files. */
const DURATIONS_FILE = path.join(ROOT, 'scripts', 'test-durations.json');
const FILE_RUNNER = path.join(import.meta.dirname, 'run-test-file.mjs');
/** Most files wait rather than compute, and some start a dozen processes. */
const CORES_PER_FILE = 2;
const SECOND_MS = 1_000;

/** A compiled file without its source is left over from another branch. */
function sourceOf(compiled) {
  return compiled.replace('/lib/test/', '/test/').replace(/\.js$/, '.ts');
}

function testFiles(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const full = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return testFiles(full);
    }
    return entry.name.endsWith('.test.js') && existsSync(sourceOf(full))
      ? [full]
      : [];
  });
}

function packageFolders() {
  const {workspaces} = JSON.parse(
    readFileSync(path.join(ROOT, 'package.json'), 'utf8'),
  );
  return workspaces.flatMap(pattern => {
    const domain = path.join(ROOT, pattern.replace('/*', ''));
    return readdirSync(domain).map(name => path.join(domain, name));
  });
}

/** Titles after `test:` in KNOWN-RED.txt. */
function knownRed() {
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

function recordedDurations() {
  return existsSync(DURATIONS_FILE)
    ? JSON.parse(readFileSync(DURATIONS_FILE, 'utf8'))
    : {};
}

const record = process.argv.includes('--record');
const wanted = process.argv.slice(2).filter(word => word !== '--record');
const durations = recordedDurations();
const durationOf = file => durations[path.relative(ROOT, file)] ?? 0;
const files = packageFolders()
  .filter(folder => existsSync(path.join(folder, 'package.json')))
  .map(folder => path.join(folder, 'lib', 'test'))
  .filter(folder => existsSync(folder))
  .flatMap(folder => testFiles(folder))
  .filter(
    file => wanted.length === 0 || wanted.some(part => file.includes(part)),
  )
  .sort((a, b) => durationOf(b) - durationOf(a));

const red = knownRed();
let passed = 0;
let failed = 0;
const seenRed = [];
const failures = [];

/** Runs one file in a process of its own; its output is printed as a whole. */
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
    child.on('close', code => {
      durations[name] = Math.ceil((performance.now() - startedAt) / SECOND_MS);
      console.log(`${name} (${durations[name]} s)`);
      process.stdout.write(Buffer.concat(output));
      note(name, outcome ?? {passed: 0, failed: [`ended with code ${code}`]});
      resolve();
    });
  });
}

function note(name, outcome) {
  passed += outcome.passed;
  for (const title of outcome.failed) {
    if (red.has(title)) {
      seenRed.push(title);
    } else {
      failed += 1;
      failures.push(`${name}: ${title}`);
    }
  }
}

async function runNext(waiting) {
  for (let file = waiting.shift(); file; file = waiting.shift()) {
    await runFile(file);
  }
}

const waiting = [...files];
const lanes = Math.max(
  1,
  Math.floor(os.availableParallelism() / CORES_PER_FILE),
);
await Promise.all(Array.from({length: lanes}, () => runNext(waiting)));
if (record) {
  const sorted = Object.entries(durations).sort(([a], [b]) => (a < b ? -1 : 1));
  writeFileSync(
    DURATIONS_FILE,
    `${JSON.stringify(Object.fromEntries(sorted), null, 2)}\n`,
  );
}
seenRed.forEach(title => console.log(`known red, passed over: ${title}`));
failures.forEach(failure => console.log(`failed: ${failure}`));
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);

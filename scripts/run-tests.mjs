/* Runs every compiled test file, or those whose path holds one of the arguments. */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import Mocha from 'mocha';

const ROOT = path.resolve(import.meta.dirname, '..');
const KNOWN_RED_FILE = path.join(ROOT, 'KNOWN-RED.txt');
const DEFAULT_TIMEOUT_MS = 60_000;

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

const wanted = process.argv.slice(2);
const files = packageFolders()
  .filter(folder => existsSync(path.join(folder, 'package.json')))
  .map(folder => path.join(folder, 'lib', 'test'))
  .filter(folder => existsSync(folder))
  .flatMap(folder => testFiles(folder))
  .filter(
    file => wanted.length === 0 || wanted.some(part => file.includes(part)),
  );

const red = knownRed();
let passed = 0;
let failed = 0;
const seenRed = [];
const failures = [];

/** Runs one file on its own, so that its hooks bind to it alone. */
async function runFile(file) {
  const mocha = new Mocha({
    timeout: DEFAULT_TIMEOUT_MS,
    forbidOnly: true,
    forbidPending: true,
  });
  mocha.addFile(file);
  await mocha.loadFilesAsync();
  await new Promise(resolve => {
    const runner = mocha.run(() => {
      runner.dispose();
      resolve();
    });
    runner.on('pass', () => {
      passed += 1;
    });
    runner.on('fail', test => {
      if (red.has(test.fullTitle())) {
        seenRed.push(test.fullTitle());
      } else {
        failed += 1;
        failures.push(`${path.relative(ROOT, file)}: ${test.fullTitle()}`);
      }
    });
  });
}

for (const file of files) {
  console.log(path.relative(ROOT, file));
  await runFile(file);
}
seenRed.forEach(title => console.log(`known red, passed over: ${title}`));
failures.forEach(failure => console.log(`failed: ${failure}`));
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);

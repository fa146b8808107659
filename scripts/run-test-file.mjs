/*
 * Runs a compiled test file. Sends the number of passed tests and the titles of the failed
 * tests to the parent process.
 */
import Mocha from 'mocha';

const DEFAULT_TIMEOUT_MS = 60_000;

const mocha = new Mocha({
  timeout: DEFAULT_TIMEOUT_MS,
  forbidOnly: true,
  forbidPending: true,
});
mocha.addFile(process.argv[2]);
await mocha.loadFilesAsync();
const outcome = {passed: 0, failed: []};
await new Promise(resolve => {
  const runner = mocha.run(() => resolve());
  runner.on('pass', () => {
    outcome.passed += 1;
  });
  runner.on('fail', test => {
    outcome.failed.push(test.fullTitle());
  });
});
process.send(outcome, () => process.exit(0));

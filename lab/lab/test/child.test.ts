import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';

/** Program that starts a stand-in, prints its process ID and keeps running. */
const LAB_SCRIPT = `
  import {startChild} from '@marigoldspur/lab';
  const child = startChild('service', '@marigoldspur/lab', ['service', '--port', '0']);
  await child.waitForLine(line => line.startsWith('ready '));
  console.log(child.process.pid);
  setInterval(() => {}, 1000);
`;
const POLL_MS = 20;

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

for (const [signal, code] of [
  ['SIGTERM', 143],
  ['SIGINT', 130],
] as const) {
  it(`child: a lab that receives ${signal} leaves no child processes behind`, async () => {
    const lab = spawn(
      process.execPath,
      ['--input-type=module', '-e', LAB_SCRIPT],
      {
        cwd: import.meta.dirname,
        stdio: ['ignore', 'pipe', 'inherit'],
      },
    );
    const line = await new Promise<string>(resolve =>
      createInterface(lab.stdout).once('line', resolve),
    );
    const pid = Number(line);
    expect(isRunning(pid)).to.equal(true);
    const ended = new Promise(resolve => lab.once('exit', resolve));
    lab.kill(signal);
    expect(await ended).to.equal(code);
    while (isRunning(pid)) {
      await pause(POLL_MS);
    }
  });
}

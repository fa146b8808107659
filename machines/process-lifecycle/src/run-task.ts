import {toFault} from '@marigoldspur/faults';

/** A started program, or a part of one, that can be stopped. */
export interface Task {
  /** Finishes the running work and resolves when all of it is done. */
  stop(): Promise<void>;
}

const EXIT_CODE_FAILED = 1;
/** Exit code of a program whose settings are invalid. */
export const EXIT_CODE_INVALID_SETTINGS = 2;

/**
 * Runs a task until SIGTERM or SIGINT; a second signal exits immediately. A signal before the
 * task has started exits at once, because there is no work to finish.
 */
export async function runTask(
  name: string,
  start: (drain: () => void) => Promise<Task>,
): Promise<void> {
  try {
    const {stopped, requestStop} = listenForStop();
    const task = await Promise.race([start(requestStop), stopped]);
    await stopped;
    await task?.stop();
    process.exit(0);
  } catch (thrown) {
    process.exit(reportFailure(name, thrown));
  }
}

/** Prints why a program failed; returns its exit code. */
export function reportFailure(program: string, thrown: unknown): number {
  const fault = toFault(thrown);
  process.stderr.write(`${program}: ${fault.message}\n`);
  return fault.code === 'INVALID_INPUT'
    ? EXIT_CODE_INVALID_SETTINGS
    : EXIT_CODE_FAILED;
}

function listenForStop(): {stopped: Promise<void>; requestStop: () => void} {
  let requestStop: () => void = () => {};
  const stopped = new Promise<void>(resolve => {
    requestStop = resolve;
  });
  let signalCount = 0;
  const onSignal = () => {
    signalCount += 1;
    if (signalCount > 1) {
      process.exit(EXIT_CODE_FAILED);
    }
    requestStop();
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  return {stopped, requestStop};
}

import type {Server} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {listen, type Address} from './listen.js';
import {PortWait} from './port-wait.js';

/** Receives what happens at the port of a server. */
export interface PortListener {
  /** Called when the server cannot listen yet, and once a minute while it waits. */
  readonly onAwaited: (
    address: Address,
    reason: string,
    waitedMs: number,
  ) => void;
  /** Called when the server listens after it has waited. */
  readonly onOpened: (address: Address, waitedMs: number) => void;
  /** Called when the server could not accept a connection; it goes on listening. */
  readonly onAcceptFailed: (address: Address, reason: string) => void;
}

/**
 * Starts listening as soon as the address is free; resolves to the address with the port
 * that was selected. Rejects if waiting cannot help, for example without permission for the
 * port.
 */
export async function listenWhenFree(
  server: Server,
  address: Address,
  listener: PortListener,
): Promise<Address> {
  const startedAt = performance.now();
  const wait = new PortWait(startedAt);
  let hasWaited = false;
  for (;;) {
    try {
      const opened = await listen(server, address);
      // Without a handler, an error of `accept` would end the process.
      server.on('error', ({message}) =>
        listener.onAcceptFailed(opened, message),
      );
      if (hasWaited) {
        listener.onOpened(opened, performance.now() - startedAt);
      }
      return opened;
    } catch (thrown) {
      const {code, message} = thrown as NodeJS.ErrnoException;
      const step = wait.next(code, performance.now());
      if (step === undefined) {
        throw thrown;
      }
      hasWaited = true;
      if (step.isReported) {
        listener.onAwaited(address, message, step.waitedMs);
      }
      await pause(step.retryInMs);
    }
  }
}

import net from 'node:net';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {incarnationOf} from './incarnation.js';

/** What became of an attempt to connect to a target. */
export type ConnectOutcome = 'accepted' | 'refused' | 'silent';

/** Options of a crash witness. */
export interface CrashWitnessOptions {
  /** Connects to an address, `host:port`, and closes the connection. */
  readonly connect: (address: string) => Promise<ConnectOutcome>;
  /** Called after a target is known to have ended. */
  readonly onEnded: () => void;
}

/**
 * Delays of the connection attempts after a response broke off, in milliseconds. A busy target
 * may refuse one connection; one that refuses all of them has ended.
 */
const PROBE_DELAYS_MS = [0, 100, 200];
const CONNECT_TIMEOUT_MS = 300;
const MAX_ENDED_TARGETS = 1_024;

/**
 * Finds out whether targets whose responses broke off have ended, before control or an agent
 * says so: their address refuses connections, or another target responds there.
 */
export class CrashWitness {
  /** Incarnations that have ended, the oldest first. */
  private readonly ended = new Set<string>();
  private readonly probed = new Set<string>();
  private isStopped = false;

  constructor(private readonly options: CrashWitnessOptions) {}

  /** Whether a target is known to have ended. */
  hasEnded(target: TargetAnnouncement): boolean {
    return this.ended.has(incarnationOf(target));
  }

  /** Records that a target responded, so that it has not ended. */
  recordResponse(target: TargetAnnouncement): void {
    this.ended.delete(incarnationOf(target));
  }

  /** Records that another target responded at the address of a target. */
  recordSuccessor(target: TargetAnnouncement): void {
    this.recordEnd(target);
  }

  /** Checks whether a target still accepts connections, unless it is being checked. */
  probe(target: TargetAnnouncement): void {
    const incarnation = incarnationOf(target);
    if (this.probed.has(incarnation) || this.ended.has(incarnation)) {
      return;
    }
    this.probed.add(incarnation);
    void this.refusesAll(target.address).then(isRefused => {
      this.probed.delete(incarnation);
      if (isRefused) {
        this.recordEnd(target);
      }
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  private async refusesAll(address: string): Promise<boolean> {
    for (const delayMs of PROBE_DELAYS_MS) {
      await new Promise(resolve => setTimeout(resolve, delayMs));
      if (
        this.isStopped ||
        (await this.options.connect(address)) !== 'refused'
      ) {
        return false;
      }
    }
    return true;
  }

  private recordEnd(target: TargetAnnouncement): void {
    const incarnation = incarnationOf(target);
    if (this.ended.has(incarnation)) {
      return;
    }
    this.ended.add(incarnation);
    for (const oldest of this.ended) {
      if (this.ended.size <= MAX_ENDED_TARGETS) {
        break;
      }
      this.ended.delete(oldest);
    }
    this.options.onEnded();
  }
}

/** Connects to an address and closes the connection. */
export function connectTo(address: string): Promise<ConnectOutcome> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect({host, port: Number(port)});
    const finish = (outcome: ConnectOutcome) => {
      socket.destroy();
      resolve(outcome);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish('silent'));
    socket.once('connect', () => finish('accepted'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent'),
    );
  });
}

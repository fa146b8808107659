import {setTimeout as pause} from 'node:timers/promises';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import type {EngineClient} from '@marigoldspur/engine-client';

interface TrackedRun {
  readonly boot: string;
  readonly pin: Pin;
}

const FIRST_POLL_MS = 20;
const MAX_POLL_MS = 500;

/**
 * Holds the pins of requests that may still be running in an engine until they
 * have ended.
 */
export class RunTracker {
  private readonly tracked = new Map<string, TrackedRun>();
  private isPolling = false;
  private isStopped = false;

  constructor(
    private readonly engine: EngineClient,
    private readonly events: EventLog,
  ) {}

  /**
   * Releases `pin` once the engine no longer runs the request or has restarted.
   */
  releaseWhenEnded(id: string, boot: string, pin: Pin): void {
    if (this.tracked.has(id)) {
      pin.release(performance.now());
      return;
    }
    this.tracked.set(id, {boot, pin});
    if (!this.isPolling) {
      this.isPolling = true;
      void this.poll();
    }
  }

  /** Stops polling the engine; the pins that are still held are not released. */
  stop(): void {
    this.isStopped = true;
  }

  private async poll(): Promise<void> {
    let waitMs = FIRST_POLL_MS;
    while (this.tracked.size > 0 && !this.isStopped) {
      const polled = [...this.tracked];
      const running = await this.engine.listRequests();
      if (running.isOk) {
        const {boot, items} = running.value;
        const ids = new Set(items.map(run => run.id));
        for (const [id, run] of polled) {
          if (!ids.has(id) || (boot ?? run.boot) !== run.boot) {
            this.tracked.delete(id);
            run.pin.release(performance.now());
            this.events.record('attempt-stopped', {id});
            waitMs = FIRST_POLL_MS;
          }
        }
      }
      await pause(waitMs);
      waitMs = Math.min(MAX_POLL_MS, waitMs * 2);
    }
    this.isPolling = false;
  }
}

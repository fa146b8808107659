import {setTimeout as pause} from 'node:timers/promises';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import type {EngineClient} from '@marigoldspur/target-client';

interface HeldRun {
  readonly boot: string;
  readonly pin: Pin;
}

const FIRST_POLL_MS = 20;
const LONGEST_POLL_MS = 500;

/** Keeps the pins of requests that may still run in an engine until they have ended there. */
export class RunTracker {
  private readonly held = new Map<string, HeldRun>();
  private polling = false;
  private stopped = false;

  constructor(
    private readonly engine: EngineClient,
    private readonly events: EventLog,
  ) {}

  /** Releases `pin` once the engine no longer runs the request, or has another boot. */
  hold(id: string, boot: string, pin: Pin): void {
    if (this.held.has(id)) {
      pin.release(performance.now());
      return;
    }
    this.held.set(id, {boot, pin});
    if (!this.polling) {
      this.polling = true;
      void this.poll();
    }
  }

  stop(): void {
    this.stopped = true;
  }

  private async poll(): Promise<void> {
    let waitMs = FIRST_POLL_MS;
    while (this.held.size > 0 && !this.stopped) {
      const asked = [...this.held];
      const running = await this.engine.running();
      if (running.isOk) {
        const {boot, items} = running.value;
        const ids = new Set(items.map(run => run.id));
        for (const [id, run] of asked) {
          if (!ids.has(id) || (boot ?? run.boot) !== run.boot) {
            this.held.delete(id);
            run.pin.release(performance.now());
            this.events.record('attempt-stopped', {id});
            waitMs = FIRST_POLL_MS;
          }
        }
      }
      await pause(waitMs);
      waitMs = Math.min(LONGEST_POLL_MS, waitMs * 2);
    }
    this.polling = false;
  }
}

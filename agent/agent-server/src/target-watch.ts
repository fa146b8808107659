import type {SlotTable} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import type {EngineClient, EngineHealth} from '@marigoldspur/target-client';

/** What is known of a target. */
export interface TargetState {
  readonly healthy: boolean;
  readonly boot: string;
  readonly batchLimit: number;
  readonly running: number;
  readonly waiting: number;
}

const UNKNOWN: TargetState = {
  healthy: false,
  boot: '',
  batchLimit: 1,
  running: 0,
  waiting: 0,
};

/** Checks an engine's health at a steady pace and takes note of its restarts. */
export class TargetWatch {
  private current: TargetState = UNKNOWN;
  private timer?: NodeJS.Timeout;

  constructor(
    private readonly engine: EngineClient,
    private readonly slots: SlotTable,
    private readonly events: EventLog,
  ) {}

  get state(): TargetState {
    return this.current;
  }

  start(intervalMs: number): void {
    const check = async () => {
      await this.check();
      this.timer = setTimeout(() => void check(), intervalMs);
    };
    void check();
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  /** Reads the engine's health once. */
  async check(): Promise<void> {
    const health = await this.engine.health();
    if (health.isErr) {
      this.current = {...this.current, healthy: false};
      return;
    }
    if (health.value.boot !== this.current.boot) {
      await this.takeOver(health.value);
      return;
    }
    this.current = {healthy: true, ...health.value};
  }

  private async takeOver(health: EngineHealth): Promise<void> {
    const resident = await this.engine.resident();
    if (resident.isErr) {
      this.current = {...this.current, healthy: false};
      return;
    }
    if (this.current.boot !== '') {
      this.events.record('target-restarted', {boot: health.boot});
    }
    this.slots.reset(health.slots, resident.value, performance.now());
    this.current = {healthy: true, ...health};
  }
}

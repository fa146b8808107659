import type {Pin, SlotTable} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import type {
  EngineClient,
  EngineHealth,
  EngineRequest,
} from '@marigoldspur/target-client';
import type {AgentMetrics} from './agent-metrics.js';
import type {LeaseManager} from './lease-manager.js';
import type {ResidentAdapters} from './resident-adapters.js';
import {RunTracker} from './run-tracker.js';

/** What is known of a target. */
export interface TargetState {
  readonly healthy: boolean;
  readonly boot: string;
  readonly batchLimit: number;
  readonly running: number;
  readonly waiting: number;
  readonly leaving: boolean;
}

/** What a target watch works with. */
export interface TargetMonitorOptions {
  readonly engine: EngineClient;
  readonly resident: ResidentAdapters;
  readonly slots: SlotTable;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly keeper: LeaseManager;
  /** Called when the target turns healthy or not, leaves or restarts. */
  readonly changed: () => void;
}

const UNKNOWN: TargetState = {
  healthy: false,
  boot: '',
  batchLimit: 1,
  running: 0,
  waiting: 0,
  leaving: false,
};
const RECONCILE_EVERY_CHECKS = 8;

/** Checks an engine's health at a steady pace, and takes note of its restarts and of what runs there. */
export class TargetMonitor {
  private current: TargetState = UNKNOWN;
  private timer?: NodeJS.Timeout;
  private checking?: Promise<void>;
  private checks = 0;
  private stopped = false;
  private readonly runs: RunTracker;

  constructor(private readonly options: TargetMonitorOptions) {
    this.runs = new RunTracker(options.engine, options.events);
  }

  get state(): TargetState {
    return this.current;
  }

  start(intervalMs: number): void {
    const check = async () => {
      await this.check();
      if (!this.stopped) {
        this.timer = setTimeout(() => void check(), intervalMs);
      }
    };
    void check();
  }

  stop(): void {
    this.stopped = true;
    this.runs.stop();
    clearTimeout(this.timer);
  }

  /** Reads the engine's health once; joins a check that runs. */
  check(): Promise<void> {
    this.checking ??= this.readState().finally(() => {
      this.checking = undefined;
    });
    return this.checking;
  }

  /** Brings the slots in line with what the engine lists now. */
  async reconcile(): Promise<void> {
    const {resident, slots} = this.options;
    const {changeCount: version} = slots;
    const listing = await resident.read();
    const fits =
      listing.isOk &&
      slots.changeCount === version &&
      (listing.value.boot ?? this.current.boot) === this.current.boot;
    if (fits) {
      slots.reconcile(listing.value.items, performance.now());
    }
  }

  /** Has the engine stop a request, and releases its pin once it has stopped. */
  releaseWhenStopped(id: string, pin: Pin | undefined): void {
    void this.options.engine.abort(id);
    if (pin !== undefined) {
      this.runs.hold(id, this.current.boot, pin);
    }
  }

  /** Pins what runs in the engine without this agent having sent it. */
  adopt(running: readonly EngineRequest[]): void {
    for (const {id, model} of running) {
      const pin = this.options.slots.pinRunning(model, performance.now());
      this.runs.hold(id, this.current.boot, pin);
    }
  }

  private async readState(): Promise<void> {
    const before = this.current;
    const health = await this.options.engine.health();
    if (health.isErr) {
      this.current = {...before, healthy: false};
    } else if (health.value.boot !== before.boot) {
      await this.takeOver(health.value.boot);
    } else {
      this.current = stateOf(health.value);
      await this.sample();
    }
    const {healthy, leaving, boot} = this.current;
    if (
      healthy !== before.healthy ||
      leaving !== before.leaving ||
      boot !== before.boot
    ) {
      this.options.changed();
    }
  }

  private async sample(): Promise<void> {
    const {running, batchLimit} = this.current;
    if (running > 0) {
      this.options.metrics.batchFill.observe(running / batchLimit);
    }
    this.checks += 1;
    if (this.checks % RECONCILE_EVERY_CHECKS === 0) {
      await this.reconcile();
    }
  }

  /** Takes over what an engine holds and runs, as after a restart of either side. */
  private async takeOver(boot: string): Promise<void> {
    const {engine, events, keeper, slots} = this.options;
    this.current = {...this.current, healthy: false};
    await this.showFence();
    const health = await engine.health();
    const loading = health.isOk ? health.value.loading : undefined;
    if (!keeper.lease.canTakeOver(performance.now(), loading)) {
      return;
    }
    const running = await engine.running();
    const listing = await this.options.resident.read();
    if (health.isErr || running.isErr || listing.isErr) {
      return;
    }
    const boots = [health.value, running.value, listing.value];
    if (boots.some(answer => (answer.boot ?? boot) !== boot)) {
      return;
    }
    if (this.current.boot !== '') {
      events.record('target-restarted', {boot});
    }
    slots.reset(health.value.slots, listing.value.items, performance.now());
    this.current = stateOf(health.value);
    this.adopt(running.value.items);
    events.record('orders-taken-over', {boot});
  }

  /** Shows the engine the fencing number, so that it refuses the orders of the agent before. */
  private async showFence(): Promise<void> {
    const {engine, keeper} = this.options;
    keeper.lease.recordFenceForgotten();
    if (!keeper.lease.isConfirmed(performance.now())) {
      return;
    }
    const shown = await engine.showFence();
    if (shown.isOk) {
      keeper.lease.recordFenceShown();
    } else if (shown.error.code === 'FENCED') {
      keeper.lease.revoke();
    }
  }
}

function stateOf(health: EngineHealth): TargetState {
  return {healthy: true, ...health};
}

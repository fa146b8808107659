import {setMaxListeners} from 'node:events';
import type {Pin, SlotTable} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import type {
  EngineClient,
  EngineHealth,
  EngineRequest,
} from '@marigoldspur/engine-client';
import type {AgentMetrics} from './agent-metrics.js';
import type {LeaseManager} from './lease-manager.js';
import type {ResidentAdapters} from './resident-adapters.js';
import {RunTracker} from './run-tracker.js';

/** Last known state of a target. */
export interface TargetState {
  readonly healthy: boolean;
  readonly boot: string;
  readonly batchLimit: number;
  readonly running: number;
  readonly waiting: number;
  readonly leaving: boolean;
}

/** Options of a target monitor. */
export interface TargetMonitorOptions {
  readonly engine: EngineClient;
  readonly resident: ResidentAdapters;
  readonly slots: SlotTable;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly leaseManager: LeaseManager;
  /**
   * Called when the target becomes healthy or unhealthy, starts to shut down,
   * or restarts.
   */
  readonly onChange: () => void;
}

const UNKNOWN_STATE: TargetState = {
  healthy: false,
  boot: '',
  batchLimit: 1,
  running: 0,
  waiting: 0,
  leaving: false,
};
/** Number of successful health checks per read of the adapters that the engine lists. */
const CHECKS_PER_RECONCILE = 8;

/**
 * Periodically checks an engine's health and tracks its restarts and running
 * requests.
 */
export class TargetMonitor {
  private current: TargetState = UNKNOWN_STATE;
  private timer?: NodeJS.Timeout;
  private pendingCheck?: Promise<void>;
  private checkCount = 0;
  private isStopped = false;
  private leaving = createSharedController();
  private readonly runTracker: RunTracker;

  constructor(private readonly options: TargetMonitorOptions) {
    this.runTracker = new RunTracker(options.engine, options.events);
  }

  /** The last known state; unhealthy and without a boot ID before the first check. */
  get state(): TargetState {
    return this.current;
  }

  /** Aborts when the target starts to leave; already aborted while it is leaving. */
  get leavingSignal(): AbortSignal {
    return this.leaving.signal;
  }

  /** Starts the health checks, with a pause of `intervalMs` after each. */
  start(intervalMs: number): void {
    const check = async () => {
      await this.check();
      if (!this.isStopped) {
        this.timer = setTimeout(() => void check(), intervalMs);
      }
    };
    void check();
  }

  stop(): void {
    this.isStopped = true;
    this.runTracker.stop();
    clearTimeout(this.timer);
  }

  /**
   * Reads the engine's health once, or joins a check that is already running.
   */
  check(): Promise<void> {
    this.pendingCheck ??= this.readState().finally(() => {
      this.pendingCheck = undefined;
    });
    return this.pendingCheck;
  }

  /** Updates the slots to the adapters that the engine lists. */
  async reconcile(): Promise<void> {
    const {resident, slots} = this.options;
    const {changeCount} = slots;
    const listing = await resident.read();
    const isCurrent =
      listing.isOk &&
      slots.changeCount === changeCount &&
      (listing.value.boot ?? this.current.boot) === this.current.boot;
    if (isCurrent) {
      slots.reconcile(listing.value.items, performance.now());
    }
  }

  /** Stops a request in the engine and releases its pin once it has stopped. */
  abortAndRelease(id: string, pin: Pin | undefined): void {
    void this.options.engine.abort(id);
    if (pin !== undefined) {
      this.runTracker.releaseWhenEnded(id, this.current.boot, pin);
    }
  }

  /**
   * Pins the adapters of requests that run in the engine but were not sent by
   * this agent.
   */
  pinRequests(running: readonly EngineRequest[]): void {
    for (const {id, model} of running) {
      const pin = this.options.slots.pinRunning(model, performance.now());
      this.runTracker.releaseWhenEnded(id, this.current.boot, pin);
    }
  }

  private async readState(): Promise<void> {
    const previous = this.current;
    const health = await this.options.engine.readHealth();
    if (health.isErr) {
      this.current = {...previous, healthy: false};
    } else if (health.value.boot !== previous.boot) {
      await this.takeOver(health.value.boot);
    } else {
      this.current = toTargetState(health.value);
      await this.recordSample();
    }
    const {healthy, leaving, boot} = this.current;
    if (leaving) {
      this.leaving.abort();
    } else if (previous.leaving) {
      this.leaving = createSharedController();
    }
    if (
      healthy !== previous.healthy ||
      leaving !== previous.leaving ||
      boot !== previous.boot
    ) {
      this.options.onChange();
    }
  }

  private async recordSample(): Promise<void> {
    const {running, batchLimit} = this.current;
    if (running > 0) {
      this.options.metrics.batchFill.observe(running / batchLimit);
    }
    this.checkCount += 1;
    if (this.checkCount % CHECKS_PER_RECONCILE === 0) {
      await this.reconcile();
    }
  }

  /**
   * Adopts the resident adapters and running requests of an engine after the
   * agent or the engine restarted.
   */
  private async takeOver(boot: string): Promise<void> {
    const {engine, events, leaseManager, slots} = this.options;
    this.current = {...this.current, healthy: false};
    await this.showFence();
    const health = await engine.readHealth();
    const loading = health.isOk ? health.value.loading : undefined;
    if (!leaseManager.lease.canTakeOver(performance.now(), loading)) {
      return;
    }
    const running = await engine.listRequests();
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
    this.current = toTargetState(health.value);
    this.pinRequests(running.value.items);
    events.record('orders-taken-over', {boot});
  }

  /**
   * Presents the fencing number to the engine, so that it refuses orders of the
   * previous agent.
   */
  private async showFence(): Promise<void> {
    const {engine, leaseManager} = this.options;
    leaseManager.lease.recordFenceForgotten();
    if (!leaseManager.lease.isConfirmed(performance.now())) {
      return;
    }
    const shown = await engine.showFence();
    if (shown.isOk) {
      leaseManager.lease.recordFenceShown();
    } else if (shown.error.code === 'FENCED') {
      leaseManager.lease.revoke();
    }
  }
}

function toTargetState(health: EngineHealth): TargetState {
  return {healthy: true, ...health};
}

/** Creates a controller whose signal any number of attempts may watch. */
function createSharedController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

const SECOND_MS = 1_000;
const LATENCY_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/** The metrics of calls that go straight to targets. */
export class DirectMetrics {
  private readonly calls: Counter<'service' | 'outcome'>;
  private readonly refusals: Counter<'reason'>;
  private readonly attempts: Counter<'service' | 'outcome'>;
  private readonly firstByte: Histogram<'service'>;
  private readonly adapterWait: Histogram<'ready'>;
  private readonly running: Gauge;

  constructor(registry: Registry) {
    const registers = [registry];
    this.calls = new Counter({
      name: 'marigoldspur_calls_total',
      help: 'Calls that got an answer of a target, by how it ended',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.refusals = new Counter({
      name: 'marigoldspur_call_refusals_total',
      help: 'Calls that the entry refused, by reason',
      labelNames: ['reason'],
      registers,
    });
    this.attempts = new Counter({
      name: 'marigoldspur_call_attempts_total',
      help: 'Sends of calls to targets, by what came of them',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.firstByte = new Histogram({
      name: 'marigoldspur_call_first_byte_seconds',
      help: 'Time to the first byte of the body of an answer',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    this.adapterWait = new Histogram({
      name: 'marigoldspur_adapter_wait_seconds',
      help: 'Time that calls waited for an adapter',
      labelNames: ['ready'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    this.running = new Gauge({
      name: 'marigoldspur_calls_running',
      help: 'Calls that run or wait now',
      registers,
    });
  }

  /** An answer ended. */
  recordResponse(service: string, outcome: string): void {
    this.calls.inc({service, outcome});
  }

  recordRefusal(reason: string): void {
    this.refusals.inc({reason});
  }

  recordAttempt(service: string, outcome: string): void {
    this.attempts.inc({service, outcome});
  }

  /** The first byte of an answer's body came, so many milliseconds after the call. */
  recordFirstByte(service: string, ms: number): void {
    this.firstByte.observe({service}, ms / SECOND_MS);
  }

  recordAdapterWait(ready: boolean, ms: number): void {
    this.adapterWait.observe({ready: String(ready)}, ms / SECOND_MS);
  }

  setRunning(count: number): void {
    this.running.set(count);
  }
}

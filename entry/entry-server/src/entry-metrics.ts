import type {PrefixLocation} from '@marigoldspur/dispatch';
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.48, 1, 2.5, 5, 10, 30,
];

/** Metrics of the request path at an entry. */
export class EntryMetrics {
  private readonly requests: Counter<'service' | 'outcome'>;
  private readonly firstByte: Histogram<'service'>;
  private readonly running: Gauge;
  private readonly hints: Counter<'service' | 'hint'>;

  constructor(registry: Registry) {
    this.requests = new Counter({
      name: 'marigoldspur_requests_total',
      help: 'Requests, by how they ended',
      labelNames: ['service', 'outcome'],
      registers: [registry],
    });
    this.firstByte = new Histogram({
      name: 'marigoldspur_first_byte_seconds',
      help: 'Time to the first byte of the response',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers: [registry],
    });
    this.running = new Gauge({
      name: 'marigoldspur_requests_running',
      help: 'Requests that are running or waiting',
      registers: [registry],
    });
    this.hints = new Counter({
      name: 'marigoldspur_prefix_hints_total',
      help: 'Attempts, by where the prefix of their prompt is expected to be cached',
      labelNames: ['service', 'hint'],
      registers: [registry],
    });
  }

  recordOutcome(service: string, outcome: string): void {
    this.requests.inc({service, outcome});
  }

  recordFirstByte(service: string, seconds: number): void {
    this.firstByte.observe({service}, seconds);
  }

  recordPrefixHint(service: string, hint: PrefixLocation): void {
    this.hints.inc({service, hint});
  }

  setRunning(count: number): void {
    this.running.set(count);
  }
}

import {Counter, Gauge, type Registry} from 'prom-client';

const MS_PER_SECOND = 1_000;

/** How the key of a call was decided on when the call arrived. */
export type KeyOutcome = 'allowed' | 'unknown_key' | 'unconfirmed';

/** Metrics of the keys of calls. */
export class TenantMetrics {
  private readonly calls: Counter<'outcome'>;

  /** `confirmationAgeMs` returns the age of the last valid confirmation; infinite if there is none. */
  constructor(
    registry: Registry,
    confirmationAgeMs: (() => number) | undefined,
  ) {
    const registers = [registry];
    this.calls = new Counter({
      name: 'marigoldspur_keyed_calls_total',
      help: 'Calls that needed or stated a key, by what was decided when they arrived',
      labelNames: ['outcome'],
      registers,
    });
    if (confirmationAgeMs !== undefined) {
      new Gauge({
        name: 'marigoldspur_deployment_confirmation_age_seconds',
        help: 'Time since the last valid confirmation of the configuration was requested; infinite if there is none',
        registers,
        collect() {
          this.set(confirmationAgeMs() / MS_PER_SECOND);
        },
      });
    }
  }

  recordCall(outcome: KeyOutcome): void {
    this.calls.inc({outcome});
  }
}

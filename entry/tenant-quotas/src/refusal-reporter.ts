import type {EventLog} from '@marigoldspur/event-log';

/** Refusals of a tenant's calls for one reason, without long gaps. */
interface RefusalSpell {
  readonly tenant: string;
  readonly cause: RefusalCause;
  refused: number;
  lastAt: number;
}

/** Why calls are refused. */
type RefusalCause = 'exceeded' | 'unavailable';

/** Time without a refusal after which a spell has ended, in milliseconds. */
const SPELL_GAP_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;

/** Records when the refusals of a tenant's calls begin and end. */
export class RefusalReporter {
  private readonly spells = new Map<string, RefusalSpell>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly events: EventLog) {}

  /** Records a refusal at time `now`, in milliseconds. */
  record(
    tenant: string,
    cause: RefusalCause,
    details: {readonly amount: number; readonly waitMs: number},
    now: number,
  ): void {
    const key = `${cause} ${tenant}`;
    const known = this.spells.get(key);
    if (known !== undefined) {
      known.refused += 1;
      known.lastAt = now;
      return;
    }
    this.spells.set(key, {tenant, cause, refused: 1, lastAt: now});
    const {amount} = details;
    const waitMs = Math.ceil(details.waitMs);
    const begun = {tenant, cause, amount, waitMs};
    this.events.record('quota-refusals-began', begun);
    this.timer ??= setInterval(
      () => this.endSpells(performance.now()),
      CHECK_INTERVAL_MS,
    );
  }

  /** Ends the spells without a refusal for a while at time `now`, in milliseconds. */
  endSpells(now: number): void {
    for (const [key, {cause, lastAt, refused, tenant}] of this.spells) {
      if (now - lastAt >= SPELL_GAP_MS) {
        this.spells.delete(key);
        const ended = {tenant, cause, refused};
        this.events.record('quota-refusals-ended', ended);
      }
    }
    if (this.spells.size === 0) {
      this.stop();
    }
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }
}

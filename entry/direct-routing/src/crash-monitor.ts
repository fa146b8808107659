import {
  CompletedParts,
  CrashLedger,
  findBlamedParts,
  findBlockedPart,
  type Blame,
} from '@marigoldspur/crash-attribution';
import {
  MAX_PART_NAME_LENGTH,
  MAX_REPORTED_PARTS,
  type CrashRecords,
  type PartSighting,
  type TargetAnnouncement,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';
import type {ModelWork} from './wire-format.js';

/** What is known about an engine after a response of it broke off. */
export type EngineFate = 'running' | 'crashed' | 'left';

/** Options of a crash monitor. */
export interface CrashMonitorOptions {
  /** Name of this entry. */
  readonly entry: string;
  /** Returns what became of an engine. */
  readonly fateOf: (target: TargetAnnouncement) => EngineFate;
  /** Sends records to all replicas of control. */
  readonly broadcast: (records: CrashRecords) => void;
  /** Called after parts were blocked. */
  readonly onBlocked: () => void;
  readonly events: EventLog;
  readonly metrics: DirectRoutingMetrics;
}

/** A call whose response broke off before its first event. */
export interface BrokenCall {
  readonly id: string;
  readonly work: ModelWork;
  readonly target: TargetAnnouncement;
  /** Whether the head of the response had arrived. */
  readonly hasHead: boolean;
  /** Whether the caller or this entry ended the call. */
  readonly isAborted: boolean;
}

interface PendingCall {
  readonly call: BrokenCall;
  readonly at: number;
  /** When the crash of the engine became known, in milliseconds. */
  confirmedAt?: number;
}

/** Time for a crash to become known after a response broke off, in milliseconds. */
const CONFIRMATION_TIMEOUT_MS = 5_000;
/**
 * Time after a crash in which another entry reports a call that the engine had begun to
 * answer, in milliseconds. Calls that it had not begun to answer count only without one.
 */
const STRONGER_REPORT_WAIT_MS = 250;
const MAX_PENDING_CALLS = 256;
/** Minimum time between two reports that calls with a blocked part still come, in milliseconds. */
const REFUSAL_REPORT_INTERVAL_MS = 60_000;
const CHECK_INTERVAL_MS = 100;

/**
 * Finds out which parts of prompts crash engines, from the responses that this entry saw
 * break off and from the crash records of all entries.
 */
export class CrashMonitor {
  private readonly ledger = new CrashLedger();
  private readonly completed = new CompletedParts();
  private readonly pending = new Set<PendingCall>();
  private blames: ReadonlyMap<string, Blame> = new Map();
  private checkTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: CrashMonitorOptions) {}

  /** Returns the records of this entry that others lack. */
  recordsMissingIn(others: CrashRecords, now: number): CrashRecords {
    return this.ledger.recordsMissingIn(others, now);
  }

  /** Adds the records of another process. */
  addRecords(records: CrashRecords, now: number): void {
    const added = this.ledger.add(records, now);
    if (added.reports.length > 0) {
      this.publishCompletions(this.partsOf(added), now);
    }
    this.updateBlames(now);
  }

  /** Records a complete answer to a call. */
  recordCompletion(work: ModelWork, now: number): void {
    const parts = reportedParts(work);
    this.completed.record(work.model, parts, now);
    if (this.ledger.datedReports().length > 0) {
      const {model} = work;
      this.publishCompletions(
        parts.map(part => ({model, part})),
        now,
      );
    }
  }

  /** Records that a response broke off before its first event. */
  recordBreak(call: BrokenCall, now: number): void {
    const fate = this.options.fateOf(call.target);
    // A call that ends here says something about its engine only if that has crashed before.
    const isIrrelevant =
      fate === 'left' || (call.isAborted && fate !== 'crashed');
    if (isIrrelevant || this.pending.size >= MAX_PENDING_CALLS) {
      return;
    }
    this.pending.add({call, at: now});
    this.checkEngines(now);
  }

  /** Reports pending calls whose engines are known to have crashed. */
  checkEngines(now: number): void {
    const due: PendingCall[] = [];
    for (const pending of this.pending) {
      if (now - pending.at > CONFIRMATION_TIMEOUT_MS) {
        this.pending.delete(pending);
      } else if (this.isDue(pending, now)) {
        this.pending.delete(pending);
        due.push(pending);
      }
    }
    if (due.length > 0) {
      this.report(due, now);
    }
    clearTimeout(this.checkTimer);
    if (this.pending.size > 0) {
      this.checkTimer = setTimeout(
        () => this.checkEngines(performance.now()),
        CHECK_INTERVAL_MS,
      );
    }
  }

  /** Returns why calls with this work are refused; undefined if they are not. */
  findBlock(work: ModelWork | undefined): Blame | undefined {
    return this.blames.size === 0 || work === undefined
      ? undefined
      : findBlockedPart(
          this.blames,
          this.ledger,
          work.model,
          work.parts.map(({id}) => id),
        );
  }

  /** Records that a call was refused because of a blocked part, which keeps the part blocked. */
  recordRefusal({model}: ModelWork, {part}: Blame, now: number): void {
    const last = this.ledger.lastSightedAt('refused', model, part) ?? -Infinity;
    if (now - last >= REFUSAL_REPORT_INTERVAL_MS) {
      this.publish(
        {reports: [], sightings: [{kind: 'refused', model, part, ageMs: 0}]},
        now,
      );
    }
  }

  stop(): void {
    clearTimeout(this.checkTimer);
  }

  /** Whether a pending call is evidence now. */
  private isDue(pending: PendingCall, now: number): boolean {
    if (this.options.fateOf(pending.call.target) !== 'crashed') {
      return false;
    }
    pending.confirmedAt ??= now;
    return (
      pending.call.hasHead ||
      now - pending.confirmedAt >= STRONGER_REPORT_WAIT_MS
    );
  }

  private report(calls: readonly PendingCall[], now: number): void {
    const {entry, events, metrics} = this.options;
    const reports = calls
      .filter(({call}) => call.hasHead || !this.hasStrongReport(call.target))
      .map(({at, call: {hasHead, id, target, work}}) => {
        const parts = reportedParts(work);
        const prompt = work.parts.at(-1)?.id ?? id;
        const details = {target: target.id, hasHead, parts: parts.join(' ')};
        events.record('crash-reported', details, id);
        metrics.recordCrashReport(hasHead);
        return {
          entry,
          target: target.id,
          bornAt: target.bornAt,
          model: work.model,
          parts,
          prompt: prompt.slice(0, MAX_PART_NAME_LENGTH),
          hasHead,
          ageMs: now - at,
        };
      });
    this.publish({reports, sightings: []}, now);
  }

  private hasStrongReport(target: TargetAnnouncement): boolean {
    return this.ledger
      .datedReports()
      .some(
        ({report}) =>
          report.hasHead &&
          report.target === target.id &&
          report.bornAt === target.bornAt,
      );
  }

  /** Publishes the last complete answers that say something new about crashes. */
  private publishCompletions(
    parts: readonly {readonly model: string; readonly part: string}[],
    now: number,
  ): void {
    const sightings = parts.flatMap(({model, part}): PartSighting[] => {
      const at = this.completed.lastAt(model, part);
      return at !== undefined && this.isNews(model, part, at)
        ? [{kind: 'completed', model, part, ageMs: now - at}]
        : [];
    });
    if (sightings.length > 0) {
      this.publish({reports: [], sightings}, now);
    }
  }

  /**
   * Whether a complete answer at time `at` clears a part of crashes, or is the first one that
   * is known for a part that crashes speak against.
   */
  private isNews(model: string, part: string, at: number): boolean {
    const knownAt = this.ledger.lastSightedAt('completed', model, part);
    return this.ledger
      .datedReports()
      .some(
        ({at: crashedAt, report}) =>
          report.model === model &&
          report.parts.includes(part) &&
          (knownAt === undefined || (crashedAt > knownAt && crashedAt < at)),
      );
  }

  /** Adds records of this entry, and sends those that are new to all others. */
  private publish(records: CrashRecords, now: number): void {
    const added = this.ledger.add(records, now);
    if (added.reports.length + added.sightings.length > 0) {
      this.options.broadcast(added);
    }
    if (added.reports.length > 0) {
      this.publishCompletions(this.partsOf(added), now);
    }
    this.updateBlames(now);
  }

  /** The parts, with their models, that reports speak against. */
  private partsOf({reports}: CrashRecords) {
    const byKey = new Map(
      reports.flatMap(({model, parts}) =>
        parts.map(part => [`${model} ${part}`, {model, part}] as const),
      ),
    );
    return [...byKey.values()];
  }

  private updateBlames(now: number): void {
    const {events, metrics} = this.options;
    const blames = findBlamedParts(this.ledger);
    const known = this.blames;
    this.blames = blames;
    for (const [part, blame] of blames) {
      if (!known.has(part)) {
        events.record('prompt-part-blocked', {
          part,
          models: [...blame.models].join(' '),
          engines: blame.engines,
          entries: blame.entries.join(' '),
          ageMs: Math.round(now - blame.since),
        });
      }
    }
    for (const part of known.keys()) {
      if (!blames.has(part)) {
        events.record('prompt-part-released', {part});
      }
    }
    metrics.setBlockedParts(blames.size);
    if ([...blames.keys()].some(part => !known.has(part))) {
      this.options.onBlocked();
    }
  }
}

/** Parts of a prompt that crashes may be attributed to: all but the last one. */
function reportedParts({parts}: ModelWork): string[] {
  return parts
    .slice(0, -1)
    .map(({id}) => id)
    .filter(id => id.length <= MAX_PART_NAME_LENGTH)
    .slice(0, MAX_REPORTED_PARTS);
}

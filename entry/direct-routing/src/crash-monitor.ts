import {
  CompletedParts,
  CrashLedger,
  findBlamedParts,
  findBlockedPart,
  type Blame,
  type PartRecords,
} from '@marigoldspur/crash-attribution';
import {
  MAX_PART_NAME_LENGTH,
  MAX_REPORTED_PARTS,
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
  /** Returns the request that crashed each engine, by engine incarnation as ID/START. */
  readonly causes: () => ReadonlyMap<string, string>;
  /** Called with the calls that were at engines which crashed. */
  readonly onCrashes: (calls: readonly CrashedCall[], now: number) => void;
  /** Sends records to all replicas of control. */
  readonly broadcast: (records: PartRecords) => void;
  /** Called after parts were blocked. */
  readonly onBlocked: () => void;
  readonly events: EventLog;
  readonly metrics: DirectRoutingMetrics;
}

/** A call whose response broke off before its first event, or before its end if it is no stream. */
export interface BrokenCall {
  readonly id: string;
  /** Returns what identifies the request when it is sent again. */
  readonly fingerprint: () => string;
  readonly work: ModelWork | undefined;
  readonly target: TargetAnnouncement;
  /** Whether the head of the response had arrived. */
  readonly hasHead: boolean;
  /** Whether the caller or this entry ended the call. */
  readonly isAborted: boolean;
}

/** A call that was at an engine which crashed. */
export interface CrashedCall {
  readonly call: BrokenCall;
  /** When its response broke off, in milliseconds. */
  readonly at: number;
}

interface PendingCall extends CrashedCall {
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
  recordsMissingIn(others: PartRecords, now: number): PartRecords {
    return this.ledger.recordsMissingIn(others, now);
  }

  /** Adds the records of another process. */
  addRecords(records: PartRecords, now: number): void {
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
    this.confirmCrashes(now);
    const due: PendingCall[] = [];
    for (const pending of this.pending) {
      if (now - pending.at > CONFIRMATION_TIMEOUT_MS) {
        this.pending.delete(pending);
      } else if (isDue(pending, now)) {
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

  /** Finds the pending calls whose engines have become known to have crashed. */
  private confirmCrashes(now: number): void {
    const {events, fateOf, metrics, onCrashes} = this.options;
    const confirmed = [...this.pending].filter(
      ({call, confirmedAt}) =>
        confirmedAt === undefined && fateOf(call.target) === 'crashed',
    );
    for (const pending of confirmed) {
      const {fingerprint, hasHead, id, target, work} = pending.call;
      pending.confirmedAt = now;
      const details = {
        target: target.id,
        hasHead,
        fingerprint: fingerprint(),
        ageMs: Math.round(now - pending.at),
        ...(work && {parts: reportedParts(work).join(' ')}),
      };
      events.record('crash-reported', details, id);
      metrics.recordCrashReport(hasHead);
    }
    if (confirmed.length > 0) {
      onCrashes(confirmed, now);
    }
  }

  private report(calls: readonly PendingCall[], now: number): void {
    const {entry} = this.options;
    const reports = calls
      .filter(({call}) => call.hasHead || !this.hasStrongReport(call.target))
      .flatMap(({at, call}) => {
        const {hasHead, id, target, work} = call;
        if (work === undefined) {
          return [];
        }
        const parts = reportedParts(work);
        const prompt = work.parts.at(-1)?.id ?? id;
        return {
          entry,
          target: target.id,
          bornAt: target.bornAt,
          model: work.model,
          parts,
          prompt: prompt.slice(0, MAX_PART_NAME_LENGTH),
          request: call.fingerprint(),
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
  private publish(records: PartRecords, now: number): void {
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
  private partsOf({reports}: PartRecords) {
    const byKey = new Map(
      reports.flatMap(({model, parts}) =>
        parts.map(part => [`${model} ${part}`, {model, part}] as const),
      ),
    );
    return [...byKey.values()];
  }

  /** Decides anew which parts are blocked. */
  updateBlames(now: number): void {
    const {causes, events, metrics} = this.options;
    const blames = findBlamedParts(this.ledger, causes());
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

/** Whether a pending call is evidence against the parts of its prompt now. */
function isDue({call, confirmedAt}: PendingCall, now: number): boolean {
  return (
    confirmedAt !== undefined &&
    (call.hasHead || now - confirmedAt >= STRONGER_REPORT_WAIT_MS)
  );
}

/** Parts of a prompt that crashes may be attributed to: all but the last one. */
function reportedParts({parts}: ModelWork): string[] {
  return parts
    .slice(0, -1)
    .map(({id}) => id)
    .filter(id => id.length <= MAX_PART_NAME_LENGTH)
    .slice(0, MAX_REPORTED_PARTS);
}

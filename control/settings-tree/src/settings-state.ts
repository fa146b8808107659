import {createHash} from 'node:crypto';
import {
  createEmptyTree,
  type Change,
  type ChangeOutcome,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {applyEdits, MAX_FINDINGS} from './apply-edits.js';
import {VersionHistory, type RemovedVersion} from './version-history.js';

/** Limits of a settings state. */
export interface SettingsStateOptions {
  /** Maximum number of accepted changes kept for followers that are behind. */
  readonly maxKeptChanges?: number;
  /** Maximum size of the kept changes as JSON, counting one byte per character. */
  readonly maxKeptBytes?: number;
  /** Maximum number of answers kept for resends; each finding counts as another answer. */
  readonly maxKeptAnswers?: number;
}

/** The outcome of a change, kept as the answer to resends. */
export interface ChangeDecision {
  readonly id: string;
  /** Digest of the complete change. */
  readonly digest: string;
  readonly outcome: ChangeOutcome;
}

/** Snapshot of a settings state. */
export interface SettingsSnapshot {
  readonly revision: number;
  readonly tree: SettingsTree;
  readonly changes: readonly Change[];
  /** Kept answers, oldest first. */
  readonly decisions: readonly ChangeDecision[];
  readonly removedVersions: readonly RemovedVersion[];
}

interface KeptChange {
  readonly change: Change;
  readonly bytes: number;
}

const DEFAULTS: Required<SettingsStateOptions> = {
  maxKeptChanges: 4_096,
  maxKeptBytes: 8_388_608,
  maxKeptAnswers: 16_384,
};
/** Length of a change's digest, in hexadecimal digits. */
const DIGEST_CHARACTERS = 32;

/**
 * The settings tree at its latest revision, with its latest accepted changes.
 *
 * Each change is decided once. Its outcome is kept and returned to each resend until
 * 16,384 later answers and findings have replaced it. After that, an accepted change is
 * still never applied again, because its number is taken: a resend returns `conflict`.
 */
export class SettingsState {
  private currentRevision = 0;
  private currentTree: SettingsTree = createEmptyTree();
  private changes: KeptChange[] = [];
  private keptBytes = 0;
  private keptAnswers = 0;
  private decisions = new Map<string, ChangeDecision>();
  /** ID of the accepted change of each number, for changes whose answer is kept. */
  private winners = new Map<number, string>();
  private readonly versions = new VersionHistory();
  private readonly options: Required<SettingsStateOptions>;

  constructor(options: SettingsStateOptions = {}) {
    this.options = {...DEFAULTS, ...options};
  }

  /** Number of the latest accepted change; 0 before the first one. */
  get revision(): number {
    return this.currentRevision;
  }

  /** The settings tree at the latest revision. */
  get tree(): SettingsTree {
    return this.currentTree;
  }

  /** Decides a change: the first valid change with the next number wins, a resend returns its first outcome. */
  apply(change: Change): ChangeOutcome {
    const text = JSON.stringify(change);
    const digest = digestOf(text);
    const first = this.decisions.get(change.id);
    if (first !== undefined) {
      return first.digest === digest ? first.outcome : duplicateIdOutcome();
    }
    const outcome = this.decide(change, text.length);
    this.keepDecision({id: change.id, digest, outcome});
    return outcome;
  }

  /** Returns the changes after a revision; undefined if they are no longer kept. */
  changesAfter(revision: number): readonly Change[] | undefined {
    const missing = this.currentRevision - revision;
    if (missing < 0 || missing > this.changes.length) {
      return undefined;
    }
    return this.changes
      .slice(this.changes.length - missing)
      .map(kept => kept.change);
  }

  /** Returns the latest accepted changes, newest first. */
  history(limit: number): Change[] {
    return this.changes
      .slice(-limit)
      .map(kept => kept.change)
      .reverse();
  }

  /** Returns a snapshot of the state. */
  snapshot(): SettingsSnapshot {
    return {
      revision: this.currentRevision,
      tree: this.currentTree,
      changes: this.changes.map(kept => kept.change),
      decisions: [...this.decisions.values()],
      removedVersions: this.versions.snapshot(),
    };
  }

  /** Replaces the state with a snapshot. */
  restore(snapshot: SettingsSnapshot): void {
    this.currentRevision = snapshot.revision;
    this.currentTree = snapshot.tree;
    this.changes = snapshot.changes.map(change => ({
      change,
      bytes: JSON.stringify(change).length,
    }));
    this.keptBytes = this.changes.reduce((sum, kept) => sum + kept.bytes, 0);
    this.decisions = new Map();
    this.winners = new Map();
    this.keptAnswers = 0;
    snapshot.decisions.forEach(decision => this.keepDecision(decision));
    this.versions.restore(snapshot.removedVersions);
  }

  private decide(change: Change, bytes: number): ChangeOutcome {
    if (change.number !== this.currentRevision + 1) {
      return {
        outcome: 'conflict',
        revision: this.currentRevision,
        winner: this.winners.get(change.number),
      };
    }
    const next = applyEdits(this.currentTree, change.edits);
    if (next.isErr) {
      return {outcome: 'invalid', findings: next.error};
    }
    const findings = this.versions.check(
      this.currentTree,
      next.value,
      change.edits,
    );
    if (findings.length > 0) {
      return {outcome: 'invalid', findings: findings.slice(0, MAX_FINDINGS)};
    }
    this.accept(change, next.value, bytes);
    return {outcome: 'accepted', revision: change.number};
  }

  private accept(change: Change, tree: SettingsTree, bytes: number): void {
    this.versions.record(this.currentTree, tree, change.edits);
    this.currentTree = tree;
    this.currentRevision = change.number;
    this.changes.push({change, bytes});
    this.keptBytes += bytes;
    while (
      this.changes.length > this.options.maxKeptChanges ||
      this.keptBytes > this.options.maxKeptBytes
    ) {
      this.keptBytes -= this.changes.shift()!.bytes;
    }
  }

  private keepDecision(decision: ChangeDecision): void {
    this.decisions.set(decision.id, decision);
    this.keptAnswers += weightOf(decision);
    const {outcome} = decision;
    if (outcome.outcome === 'accepted') {
      this.winners.set(outcome.revision, decision.id);
    }
    while (
      this.keptAnswers > this.options.maxKeptAnswers &&
      this.decisions.size > 1
    ) {
      this.dropOldestDecision();
    }
  }

  private dropOldestDecision(): void {
    const oldest = this.decisions.values().next().value!;
    this.decisions.delete(oldest.id);
    this.keptAnswers -= weightOf(oldest);
    if (oldest.outcome.outcome === 'accepted') {
      this.winners.delete(oldest.outcome.revision);
    }
  }
}

function weightOf({outcome}: ChangeDecision): number {
  return outcome.outcome === 'invalid' ? 1 + outcome.findings.length : 1;
}

function digestOf(text: string): string {
  return createHash('sha256')
    .update(text)
    .digest('hex')
    .slice(0, DIGEST_CHARACTERS);
}

function duplicateIdOutcome(): ChangeOutcome {
  const reason = 'another change was sent under this identity';
  return {outcome: 'invalid', findings: [{place: 'id', reason}]};
}

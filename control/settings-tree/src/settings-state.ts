import {createHash} from 'node:crypto';
import {
  createEmptyTree,
  type Change,
  type ChangeOutcome,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {applyEdits, MAX_FINDINGS} from './apply-edits.js';
import {VersionHistory, type RemovedVersion} from './version-history.js';

/** Bounds of what a settings state keeps. */
export interface SettingsStateOptions {
  /** Accepted changes kept for followers that are behind. */
  readonly maxKeptChanges?: number;
  /** Bytes of the kept changes, as JSON. */
  readonly maxKeptBytes?: number;
  /** Answers kept for resends; each finding counts as one more. */
  readonly maxKeptAnswers?: number;
}

/** The first answer to a change. */
export interface ChangeDecision {
  readonly id: string;
  /** Digest of the whole change. */
  readonly digest: string;
  readonly outcome: ChangeOutcome;
}

/** Everything a settings state holds, for snapshots. */
export interface SettingsSnapshot {
  readonly revision: number;
  readonly tree: SettingsTree;
  readonly changes: readonly Change[];
  /** The kept answers, oldest first. */
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
const DIGEST_LENGTH = 32;

/**
 * The settings tree at its latest revision, with the changes that led there.
 *
 * A change is decided once. Its first answer, whichever it is, is kept and given to
 * each resend until 16,384 later answers and findings were given. Past that an
 * accepted change is still never applied again, since its number is taken: the
 * resend is told `conflict`.
 */
export class SettingsState {
  private currentRevision = 0;
  private currentTree: SettingsTree = createEmptyTree();
  private changes: KeptChange[] = [];
  private keptBytes = 0;
  private keptAnswers = 0;
  private decisions = new Map<string, ChangeDecision>();
  private winners = new Map<number, string>();
  private readonly versions = new VersionHistory();
  private readonly options: Required<SettingsStateOptions>;

  constructor(options: SettingsStateOptions = {}) {
    this.options = {...DEFAULTS, ...options};
  }

  get revision(): number {
    return this.currentRevision;
  }

  get tree(): SettingsTree {
    return this.currentTree;
  }

  /** Decides a change: the first to make a number wins, a resend gets its first answer. */
  apply(change: Change): ChangeOutcome {
    const text = JSON.stringify(change);
    const digest = digestOf(text);
    const first = this.decisions.get(change.id);
    if (first !== undefined) {
      return first.digest === digest ? first.outcome : identityTaken();
    }
    const outcome = this.decide(change, text.length);
    this.keepDecision({id: change.id, digest, outcome});
    return outcome;
  }

  /** The changes after a revision; undefined where they are no longer kept. */
  changesAfter(revision: number): readonly Change[] | undefined {
    const wanted = this.currentRevision - revision;
    if (wanted < 0 || wanted > this.changes.length) {
      return undefined;
    }
    return this.changes
      .slice(this.changes.length - wanted)
      .map(kept => kept.change);
  }

  /** The latest accepted changes, newest first. */
  history(limit: number): Change[] {
    return this.changes
      .slice(-limit)
      .map(kept => kept.change)
      .reverse();
  }

  /** Everything the state holds. */
  snapshot(): SettingsSnapshot {
    return {
      revision: this.currentRevision,
      tree: this.currentTree,
      changes: this.changes.map(kept => kept.change),
      decisions: [...this.decisions.values()],
      removedVersions: this.versions.snapshot(),
    };
  }

  /** Takes over a snapshot. */
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
    .slice(0, DIGEST_LENGTH);
}

function identityTaken(): ChangeOutcome {
  const reason = 'another change was sent under this identity';
  return {outcome: 'invalid', findings: [{place: 'id', reason}]};
}

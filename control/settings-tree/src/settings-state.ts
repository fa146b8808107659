import {
  emptyTree,
  type Change,
  type ChangeOutcome,
  type Tree,
} from '@marigoldspur/settings-schema';
import {applyEdits} from './apply-edits.js';

/** Changes kept for followers that are behind and for resends. */
const KEPT_CHANGES = 4_096;

/** Everything a settings state holds, for snapshots. */
export interface SettingsSnapshot {
  readonly revision: number;
  readonly tree: Tree;
  readonly changes: readonly Change[];
}

/** The settings tree at its latest revision, with the changes that led there. */
export class SettingsState {
  private currentRevision = 0;
  private currentTree: Tree = emptyTree();
  private changes: Change[] = [];

  get revision(): number {
    return this.currentRevision;
  }

  get tree(): Tree {
    return this.currentTree;
  }

  /** Decides a change: the first to make a number wins, a resend gets its first answer. */
  apply(change: Change): ChangeOutcome {
    const first = this.changes.find(kept => kept.id === change.id);
    if (first !== undefined) {
      return {outcome: 'accepted', revision: first.number};
    }
    if (change.number !== this.currentRevision + 1) {
      const winner = this.changes.find(kept => kept.number === change.number);
      return {
        outcome: 'conflict',
        revision: this.currentRevision,
        winner: winner?.id,
      };
    }
    const next = applyEdits(this.currentTree, change.edits);
    if (next.isErr) {
      return {outcome: 'invalid', findings: next.error};
    }
    this.accept(change, next.value);
    return {outcome: 'accepted', revision: change.number};
  }

  /** The changes after a revision; undefined where they are no longer kept. */
  changesAfter(revision: number): readonly Change[] | undefined {
    const wanted = this.currentRevision - revision;
    if (wanted < 0 || wanted > this.changes.length) {
      return undefined;
    }
    return this.changes.slice(this.changes.length - wanted);
  }

  /** The latest accepted changes, newest first. */
  history(limit: number): Change[] {
    return this.changes.slice(-limit).reverse();
  }

  /** Everything the state holds. */
  snapshot(): SettingsSnapshot {
    return {
      revision: this.currentRevision,
      tree: this.currentTree,
      changes: this.changes,
    };
  }

  /** Takes over a snapshot. */
  restore(snapshot: SettingsSnapshot): void {
    this.currentRevision = snapshot.revision;
    this.currentTree = snapshot.tree;
    this.changes = [...snapshot.changes];
  }

  private accept(change: Change, tree: Tree): void {
    this.currentTree = tree;
    this.currentRevision = change.number;
    this.changes.push(change);
    if (this.changes.length > KEPT_CHANGES) {
      this.changes = this.changes.slice(-KEPT_CHANGES);
    }
  }
}

import type {
  BatchAnswer,
  Claim,
  ClaimOutcome,
  Completion,
  FenceGrant,
  HeartbeatBatch,
  HeartbeatReceipt,
  Member,
  MembersDelta,
  PermitAnswer,
  PermitRequest,
} from '@marigoldspur/messages';
import {
  CHANGE_SCHEMA,
  SETTINGS_TREE_SCHEMA,
  type Change,
  type ChangeOutcome,
} from '@marigoldspur/settings-schema';
import {z} from 'zod';

/** The settings tree at one revision. */
export const SETTINGS_VIEW_SCHEMA = z.object({
  revision: z.int().min(0),
  tree: SETTINGS_TREE_SCHEMA,
});

/** The settings tree at one revision. */
export type SettingsView = Readonly<z.infer<typeof SETTINGS_VIEW_SCHEMA>>;

/** What a follower needs to reach a later revision. */
export const SETTINGS_DELTA_SCHEMA = z.object({
  revision: z.int().min(0),
  /** The whole tree, where the changes are no longer kept. */
  tree: SETTINGS_TREE_SCHEMA.optional(),
  /** Else the changes after the follower's revision, in order. */
  changes: z.array(CHANGE_SCHEMA).readonly(),
  /** True where a quorum confirmed within about a second that nothing newer is committed. */
  confirmed: z.boolean().optional(),
});

/** What a follower needs to reach a later revision. */
export type SettingsDelta = Readonly<z.infer<typeof SETTINGS_DELTA_SCHEMA>>;

/** The state of one replica of control. */
export interface ControlStatus {
  readonly id: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  /** Base URL of the leader, where known. */
  readonly leaderUrl?: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly revision: number;
  /** Identities of the voters. */
  readonly voters: readonly string[];
  readonly appliedIndex?: number;
  /** Identity of the replica, kept in its data folder. */
  readonly replica?: string;
  /** All replicas of the group; how far each is, the leader alone knows. */
  readonly replicas?: ReadonlyArray<{
    readonly id: string;
    readonly url: string;
    readonly role: 'voter' | 'learner';
    /** The last index that the replica holds, synced. */
    readonly matchIndex?: number;
  }>;
  /** Whether the replica's disk is full. */
  readonly diskFull?: boolean;
}

/**
 * What a replica of control does for its callers. Methods throw a `Fault`:
 * `NOT_LEADER` with the leader's URL in the message, or `NO_QUORUM`.
 */
export interface ControlService {
  /** Reads the tree; `fresh` reads confirm with a quorum first. */
  readSettings(fresh: boolean): Promise<SettingsView>;
  /** Waits up to `waitMs` for a revision after `revision`. */
  watchSettings(revision: number, waitMs: number): Promise<SettingsDelta>;
  /**
   * Streams the changes after `revision` in batches, and a confirmed delta at least
   * each second. Throws `NO_QUORUM` once this replica can't confirm its state, so
   * that the follower turns to another one.
   */
  followSettings(
    revision: number,
    signal: AbortSignal,
  ): AsyncIterable<SettingsDelta>;
  changeSettings(change: Change): Promise<ChangeOutcome>;
  /** The latest accepted changes, newest first. */
  settingsHistory(limit: number): Promise<readonly Change[]>;
  takeClaim(claim: Claim): Promise<ClaimOutcome>;
  completeClaim(completion: Completion): Promise<void>;
  /** Announces a process; the answer states its lease. */
  heartbeat(member: Member): Promise<HeartbeatReceipt>;
  /** Takes the heartbeats that a relay gathered. */
  heartbeats(batch: HeartbeatBatch): Promise<BatchAnswer>;
  /** Grants a fencing number, larger than any before for the target. */
  grantFence(target: string, boot: string): Promise<FenceGrant>;
  /** Waits up to `waitMs` for a version of the member table after `version`. */
  watchMembers(
    table: string,
    version: number,
    waitMs: number,
  ): Promise<MembersDelta>;
  /** Streams the member table, and an empty delta at least each second; the leader's alone. */
  followMembers(
    table: string,
    version: number,
    signal: AbortSignal,
  ): AsyncIterable<MembersDelta>;
  acquirePermit(request: PermitRequest): Promise<PermitAnswer>;
  releasePermit(permit: string, loaded: boolean, used: boolean): Promise<void>;
  status(): ControlStatus;
}

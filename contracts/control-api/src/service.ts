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

/** Changes that bring a follower to a later settings revision. */
export const SETTINGS_DELTA_SCHEMA = z.object({
  revision: z.int().min(0),
  /** The whole tree, if the changes are no longer kept. */
  tree: SETTINGS_TREE_SCHEMA.optional(),
  /** Otherwise the changes after the follower's revision, in order. */
  changes: z.array(CHANGE_SCHEMA).readonly(),
  /** Whether a quorum confirmed within about the last second that nothing newer is committed. */
  confirmed: z.boolean().optional(),
});

/** Changes that bring a follower to a later settings revision. */
export type SettingsDelta = Readonly<z.infer<typeof SETTINGS_DELTA_SCHEMA>>;

/** The state of one replica of control. */
export interface ControlStatus {
  readonly id: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  /** Current election term. */
  readonly term: number;
  /** Base URL of the leader, if known. */
  readonly leaderUrl?: string;
  /** Index of the last committed log entry. */
  readonly commitIndex: number;
  /** Index of the last log entry. */
  readonly lastIndex: number;
  /** Latest settings revision that the replica has applied. */
  readonly revision: number;
  /** IDs of the voters. */
  readonly voters: readonly string[];
  /** Index of the last log entry that the replica has applied. */
  readonly appliedIndex?: number;
  /** ID of the replica, stored in its data folder. */
  readonly replica?: string;
  /** All replicas of the group; only the leader knows each `matchIndex`. */
  readonly replicas?: ReadonlyArray<{
    readonly id: string;
    readonly url: string;
    readonly role: 'voter' | 'learner';
    /** Last log index that the replica has synced to disk. */
    readonly matchIndex?: number;
  }>;
  /** Whether the replica's disk is full. */
  readonly diskFull?: boolean;
}

/**
 * The API of a replica of control. Methods throw a `Fault` with the code `NOT_LEADER`, with
 * the leader's URL in the message, or `NO_QUORUM`.
 */
export interface ControlService {
  /** Reads the settings tree. A `fresh` read first confirms with a quorum that it is current. */
  readSettings(fresh: boolean): Promise<SettingsView>;
  /** Waits up to `waitMs` milliseconds for a revision after `revision`. */
  watchSettings(revision: number, waitMs: number): Promise<SettingsDelta>;
  /**
   * Streams the changes after `revision` in batches, with a confirmed delta at least
   * once a second. Throws `NO_QUORUM` once this replica cannot confirm its state, so
   * that the follower switches to another replica.
   */
  followSettings(
    revision: number,
    signal: AbortSignal,
  ): AsyncIterable<SettingsDelta>;
  /** Commits a change of the settings tree, or resolves to why it is not accepted. */
  changeSettings(change: Change): Promise<ChangeOutcome>;
  /** Returns the latest accepted changes, newest first. */
  settingsHistory(limit: number): Promise<readonly Change[]>;
  /** Claims an idempotency key for a request. */
  takeClaim(claim: Claim): Promise<ClaimOutcome>;
  /** Records the result of a claimed request, or releases its key. */
  completeClaim(completion: Completion): Promise<void>;
  /** Announces a process or renews its lease; the receipt states the lease. */
  heartbeat(member: Member): Promise<HeartbeatReceipt>;
  /** Processes a batch of heartbeats that a relay gathered. */
  heartbeats(batch: HeartbeatBatch): Promise<BatchAnswer>;
  /**
   * Grants a fencing number that is higher than any granted for the target before; `boot` is
   * the boot ID of the agent.
   */
  grantFence(target: string, boot: string): Promise<FenceGrant>;
  /** Waits up to `waitMs` milliseconds for a version of the member table after `version`. */
  watchMembers(
    table: string,
    version: number,
    waitMs: number,
  ): Promise<MembersDelta>;
  /** Streams changes of the member table, with an empty delta at least once a second. Only the leader serves it. */
  followMembers(
    table: string,
    version: number,
    signal: AbortSignal,
  ): AsyncIterable<MembersDelta>;
  /** Waits for a permit to load an adapter, for as long as the request states. */
  acquirePermit(request: PermitRequest): Promise<PermitAnswer>;
  /** Releases a permit: whether the adapter was loaded, and whether a load was started at all. */
  releasePermit(permit: string, loaded: boolean, used: boolean): Promise<void>;
  /** Returns the state of this replica. */
  status(): ControlStatus;
}

import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {Consensus} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault, type Fault} from '@marigoldspur/faults';
import {
  DELIVERY_PATH,
  createDeliveryHandler,
  createReplicaRouter,
  type ReplicaRouter,
} from '@marigoldspur/replica-transport';
import {
  isDiskRefusal,
  openLogStorage,
  setAsideLog,
  type FileSystem,
  type OpenedStorage,
} from '@marigoldspur/log-storage';
import {DISK_RETRY_MS} from './batch-writer.js';
import {DiskEvents} from './disk-events.js';
import {LogReplica} from './log-replica.js';
import {PeerRegistry} from './peer-registry.js';
import type {ReplicatedLog, StateMachine} from './replicated-log.js';

/** Options of a replicated log. */
export interface ReplicatedLogOptions {
  /** Folder of the log files. */
  readonly folder: string;
  /** Base URL at which the other replicas reach this one. */
  readonly url: string;
  /** Base URLs of all replicas; an empty list means a group of this replica only. */
  readonly peers: readonly string[];
  /**
   * Desired number of voters, if replicas at URLs other than `peers` may join;
   * undefined if `peers` are all replicas.
   */
  readonly desiredVoters?: number;
  /** Whether this replica may form a new group if all replicas are new. */
  readonly bootstrap: boolean;
  readonly events: EventLog;
  /** Called if the content of the disk is unknown. The process must exit. */
  readonly onFatal: (fault: Fault) => void;
  /** Minimum time without a leader before an election, in milliseconds. */
  readonly electionTimeoutMs?: number;
  /** Interval between the heartbeats of the leader, in milliseconds. */
  readonly heartbeatMs?: number;
  /** Timeout for a command to be committed and applied, in milliseconds. */
  readonly proposeTimeoutMs?: number;
  /** Number of applied entries after which a snapshot is saved. */
  readonly snapshotEntries?: number;
  /** Size of the applied entries after which a snapshot is saved, in bytes. */
  readonly snapshotBytes?: number;
  /** Number of entries before a snapshot that are kept for lagging replicas. */
  readonly keptEntries?: number;
  /** Maximum size of the kept entries together, in bytes. */
  readonly keptBytes?: number;
  /** Size of a log segment from which a new one is started, in bytes. */
  readonly segmentBytes?: number;
  readonly files?: FileSystem;
  /** Agent for connections to the other replicas. */
  readonly agent?: http.Agent;
}

type StorageOptions = Pick<
  ReplicatedLogOptions,
  'events' | 'files' | 'folder' | 'segmentBytes'
>;

/** An open log and the endpoints that the other replicas call. */
export interface OpenedLog<Command, Answer> {
  readonly log: ReplicatedLog<Command, Answer>;
  /** Router to be served under `/trpc/log/`. */
  readonly router: ReplicaRouter;
  /** Request handlers by path, to be served in addition to the router. */
  readonly paths: ReadonlyMap<string, http.RequestListener>;
}

const DEFAULT_SNAPSHOT_BYTES = 16_777_216;
const DEFAULT_KEPT_BYTES = 16_777_216;
const DEFAULT_ELECTION_TIMEOUT_MS = 1_000;
const DEFAULT_HEARTBEAT_MS = 200;
const DEFAULT_PROPOSE_TIMEOUT_MS = 2_000;
const DEFAULT_SNAPSHOT_ENTRIES = 10_000;
const DEFAULT_KEPT_ENTRIES = 1_000;

/**
 * Opens one replica of a replicated log and starts it. A replica whose data is damaged
 * starts empty, under a new ID, and waits to be added to its group.
 */
export async function openReplicatedLog<Command, Answer>(
  machine: StateMachine<Command, Answer>,
  options: ReplicatedLogOptions,
): Promise<OpenedLog<Command, Answer>> {
  const {events} = options;
  const opened = await openStorage(options);
  if (opened.tornBytes > 0) {
    events.record('log-tail-cut', {bytes: opened.tornBytes});
  }
  if (opened.snapshotData !== undefined) {
    machine.restore(opened.snapshotData);
  }
  const {id, recovered, storage} = opened;
  const electionTimeoutMs =
    options.electionTimeoutMs ?? DEFAULT_ELECTION_TIMEOUT_MS;
  const consensus = new Consensus(
    {
      id,
      electionTimeoutMs,
      heartbeatMs: options.heartbeatMs ?? DEFAULT_HEARTBEAT_MS,
      random: Math.random,
    },
    recovered,
    performance.now(),
  );
  events.record('log-opened', {
    replica: id,
    group: consensus.group,
    term: consensus.term,
    lastIndex: consensus.lastIndex,
    isNew: opened.isNew,
  });
  const replica = new LogReplica(
    {machine, consensus, storage},
    {
      peers: new PeerRegistry({
        ownUrl: options.url,
        seeds: options.peers,
        desiredVoters: options.desiredVoters,
      }),
      bootstrap: options.bootstrap,
      isReplacement: opened.isReplacement,
      electionTimeoutMs,
      proposeTimeoutMs: options.proposeTimeoutMs ?? DEFAULT_PROPOSE_TIMEOUT_MS,
      snapshotEntries: options.snapshotEntries ?? DEFAULT_SNAPSHOT_ENTRIES,
      snapshotBytes: options.snapshotBytes ?? DEFAULT_SNAPSHOT_BYTES,
      keptEntries: options.keptEntries ?? DEFAULT_KEPT_ENTRIES,
      keptBytes: options.keptBytes ?? DEFAULT_KEPT_BYTES,
      events,
      agent: options.agent ?? new http.Agent({keepAlive: true}),
      onFatal: options.onFatal,
    },
  );
  return {
    log: replica,
    router: createReplicaRouter(replica),
    paths: new Map([[DELIVERY_PATH, createDeliveryHandler(replica)]]),
  };
}

/** Opens the storage, once the disk allows it; damaged files are set aside, and the storage is then empty. */
async function openStorage(options: StorageOptions): Promise<OpenedStorage> {
  const diskEvents = new DiskEvents(options.events);
  for (let isSyncInDoubt = false; ; isSyncInDoubt = true) {
    try {
      const opened = await openOrSetAside({...options, isSyncInDoubt});
      diskEvents.record(undefined);
      return opened;
    } catch (thrown) {
      if (!isDiskRefusal(thrown)) {
        throw thrown;
      }
      diskEvents.record(thrown);
    }
    await delay(DISK_RETRY_MS);
  }
}

async function openOrSetAside({
  events,
  files,
  folder,
  segmentBytes,
  isSyncInDoubt,
}: StorageOptions & {readonly isSyncInDoubt: boolean}): Promise<OpenedStorage> {
  const storageOptions = {
    folder,
    files,
    segmentBytes,
    isSyncInDoubt,
    onRemovalFailure: (thrown: unknown) =>
      events.record('log-removal-failed', {reason: toFault(thrown).message}),
  };
  try {
    return await openLogStorage(storageOptions);
  } catch (thrown) {
    if (isDiskRefusal(thrown)) {
      throw thrown;
    }
    const {code, message: reason} = toFault(thrown);
    events.record('log-corrupt', {reason});
    if (code !== 'CORRUPT_DATA') {
      throw thrown;
    }
    const setAside = await setAsideLog({folder, files});
    events.record('log-set-aside', {...setAside});
    return openLogStorage(storageOptions);
  }
}

import {randomUUID} from 'node:crypto';
import {
  isVoter,
  nextConfiguration,
  repairedReplicas,
  replicasOf,
  type Configuration,
  type Consensus,
  type DiscoveredReplica,
} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';
import type {
  RequesterIdentity,
  ReplicaIdentity,
} from '@marigoldspur/replica-transport';
import type {PeerRegistry} from './peer-registry.js';

/** Options of a group reconciler. */
export interface GroupReconcilerOptions {
  readonly consensus: Consensus;
  readonly peers: PeerRegistry;
  /** Whether this replica may form a new group. */
  readonly bootstrap: boolean;
  /** A replica that has not answered for this long is not caught up, in milliseconds. */
  readonly contactTimeoutMs: number;
  readonly events: EventLog;
  /**
   * Fetches the identity of the replica at a URL and sends it the identity of this one.
   */
  readonly fetchIdentity: (
    url: string,
    from: RequesterIdentity,
  ) => Promise<ReplicaIdentity>;
}

/** Time for which a discovered replica is considered for repairs. */
const DISCOVERY_VALIDITY_MS = 3_000;
/**
 * A replica that has not answered for this long is lost; a lost voter is replaced once
 * a learner is caught up.
 */
const LOST_AFTER_MS = 1_500;

interface TimedDiscovery extends DiscoveredReplica {
  readonly discoveredAt: number;
}

/**
 * Forms the group and, after a loss of replicas, repairs it until it has the desired
 * number of caught-up voters.
 */
export class GroupReconciler {
  private readonly discoveredReplicas = new Map<string, TimedDiscovery>();
  private isProbing = false;
  private isWaitRecorded = false;

  constructor(private readonly options: GroupReconcilerOptions) {}

  /** Records that a replica answered at a URL. */
  recordDiscovered(url: string, identity: ReplicaIdentity, now: number): void {
    const {id, group, known = []} = identity;
    const {peers} = this.options;
    known.forEach(other => peers.addDiscovered(other));
    if (peers.isAllowed(url) && url !== peers.ownUrl) {
      peers.addDiscovered(url);
      this.discoveredReplicas.set(url, {url, id, group, discoveredAt: now});
    }
  }

  /**
   * Takes the next step towards forming, joining or repairing the group, if there is
   * one.
   */
  tick(now: number): void {
    const {consensus} = this.options;
    if (consensus.group === '') {
      void this.formGroup(now);
    } else if (consensus.isLeaderReady) {
      void this.probeUnknownUrls(now);
      this.repair(now);
    } else if (!isVoter(consensus.configuration, consensus.id)) {
      void this.announceSelf(now);
    }
  }

  /**
   * Records the events of a committed configuration change, as each replica does when
   * it applies the change.
   */
  recordCommittedChange(
    before: Configuration,
    after: Configuration,
    index: number,
  ): void {
    const {events} = this.options;
    const votersBefore = new Set(before.voters.map(voter => voter.id));
    const votersAfter = new Set(after.voters.map(voter => voter.id));
    const known = new Set(replicasOf(before).map(replica => replica.id));
    for (const {id, url} of after.learners) {
      if (!known.has(id)) {
        events.record('learner-added', {replica: id, url});
      }
    }
    for (const {id, url} of before.voters.filter(
      voter => !votersAfter.has(voter.id),
    )) {
      events.record('voter-removed', {replica: id, url});
    }
    for (const {id, url} of after.voters.filter(
      voter => !votersBefore.has(voter.id),
    )) {
      events.record('voter-added', {replica: id, url});
    }
    for (const {id, url} of repairedReplicas(before, after)) {
      events.record('replica-repaired', {replica: id, url, index});
    }
  }

  private repair(now: number): void {
    const {consensus} = this.options;
    const recent = [...this.discoveredReplicas.values()].filter(
      replica => now - replica.discoveredAt <= DISCOVERY_VALIDITY_MS,
    );
    const next = nextConfiguration({
      group: consensus.group,
      configuration: consensus.configuration,
      discoveredReplicas: recent,
      isCaughtUp: id => this.isCaughtUp(id, now),
      ...(this.options.peers.allowsUnlistedPeers && {
        desiredVoters: this.options.peers.desiredVoters,
        isLost: id => this.isLost(id, now),
      }),
    });
    if (next !== undefined) {
      consensus.changeConfiguration(next, now);
    }
  }

  private isCaughtUp(id: string, now: number): boolean {
    const {consensus, contactTimeoutMs} = this.options;
    const progress = consensus.progressOf(id);
    return (
      progress !== undefined &&
      progress.matchIndex >= consensus.commitIndex &&
      (id === consensus.id || now - progress.lastAnswerAt < contactTimeoutMs)
    );
  }

  private isLost(id: string, now: number): boolean {
    const {consensus} = this.options;
    const progress = consensus.progressOf(id);
    return (
      id !== consensus.id &&
      progress !== undefined &&
      now - progress.lastAnswerAt >= LOST_AFTER_MS
    );
  }

  /** Fetches identities at the known URLs that are not part of the configuration. */
  private async probeUnknownUrls(now: number): Promise<void> {
    const {consensus, peers} = this.options;
    const known = replicasOf(consensus.configuration).map(({url}) => url);
    const unknown = peers.otherUrls().filter(url => !known.includes(url));
    await this.fetchIdentities(unknown, now);
  }

  /**
   * Announces this replica to the others, so that the leader discovers it even if its
   * URL is not a seed.
   */
  private async announceSelf(now: number): Promise<void> {
    const {peers} = this.options;
    if (peers.allowsUnlistedPeers) {
      await this.fetchIdentities(peers.otherUrls(), now);
    }
  }

  /**
   * Fetches the identities at URLs; returns an empty list if a probe is already
   * running.
   */
  private async fetchIdentities(
    urls: readonly string[],
    now: number,
  ): Promise<Array<ReplicaIdentity | undefined>> {
    if (this.isProbing) {
      return [];
    }
    this.isProbing = true;
    const {consensus, peers} = this.options;
    const from = {id: consensus.id, group: consensus.group, url: peers.ownUrl};
    const answers = await Promise.all(
      urls.map(url =>
        this.options.fetchIdentity(url, from).catch(() => undefined),
      ),
    );
    this.isProbing = false;
    answers.forEach((answer, index) => {
      if (answer !== undefined) {
        this.recordDiscovered(urls[index], answer, now);
      }
    });
    return answers;
  }

  /**
   * Forms the group once all other replicas have answered that they never belonged to
   * one. This prevents a replica that lost its disk from forming a second group.
   */
  private async formGroup(now: number): Promise<void> {
    const {consensus, peers, events} = this.options;
    const {ownUrl, seedUrls} = peers;
    if (!this.options.bootstrap || [...seedUrls].sort()[0] !== ownUrl) {
      this.recordWait();
      await this.announceSelf(now);
      return;
    }
    if (this.isProbing) {
      return;
    }
    const others = seedUrls.filter(peer => peer !== ownUrl);
    const answers = await this.fetchIdentities(others, now);
    const haveNoGroup = answers.every(
      answer => answer?.group === '' && answer.isReplacement !== true,
    );
    if (consensus.group !== '' || consensus.lastIndex > 0) {
      return;
    }
    if (!haveNoGroup) {
      this.recordWait();
      return;
    }
    const group = randomUUID();
    consensus.bootstrap(group, ownUrl, now);
    events.record('group-formed', {group, replica: consensus.id});
  }

  private recordWait(): void {
    if (!this.isWaitRecorded) {
      this.isWaitRecorded = true;
      const {id} = this.options.consensus;
      this.options.events.record('group-awaited', {replica: id});
    }
  }
}

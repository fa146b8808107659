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
import type {RequesterIdentity, ReplicaIdentity} from '@marigoldspur/log-links';
import type {PeerRegistry} from './peer-registry.js';

/** Options of a repair desk. */
export interface GroupReconcilerOptions {
  readonly consensus: Consensus;
  readonly peers: PeerRegistry;
  /** Whether this replica may form the group. */
  readonly bootstrap: boolean;
  /** Age from which an unheard learner is not caught up, in milliseconds. */
  readonly learnerTimeoutMs: number;
  readonly events: EventLog;
  /** Asks who answers at a URL, and says who asks. */
  readonly fetchIdentity: (
    url: string,
    from: RequesterIdentity,
  ) => Promise<ReplicaIdentity>;
}

/** Age from which a sighting is no longer used, in milliseconds. */
const SIGHTING_VALID_MS = 3_000;
/** A voter that has not answered for so long is replaced where a learner is caught up. */
const LOST_AFTER_MS = 1_500;

interface TimedSighting extends DiscoveredReplica {
  readonly at: number;
}

/** Forms the group, and keeps a caught-up voter at each configured URL. */
export class GroupReconciler {
  private readonly sightings = new Map<string, TimedSighting>();
  private probing = false;
  private waitAnnounced = false;

  constructor(private readonly options: GroupReconcilerOptions) {}

  /** A replica answered at a URL. */
  recordDiscovered(url: string, identity: ReplicaIdentity, now: number): void {
    const {id, group, known = []} = identity;
    const {peers} = this.options;
    known.forEach(other => peers.addDiscovered(other));
    if (peers.isAllowed(url) && url !== peers.ownUrl) {
      peers.addDiscovered(url);
      this.sightings.set(url, {url, id, group, at: now});
    }
  }

  /** Takes the next step, if one is due. */
  tick(now: number): void {
    const {consensus} = this.options;
    if (consensus.group === '') {
      void this.form(now);
    } else if (consensus.isLeaderReady) {
      void this.probe(now);
      this.repair(now);
    } else if (!isVoter(consensus.configuration, consensus.id)) {
      void this.introduce(now);
    }
  }

  /** A change of the replicas was committed; each replica records it as it applies it. */
  recordCommittedChange(
    before: Configuration,
    after: Configuration,
    index: number,
  ): void {
    const {events} = this.options;
    const was = new Set(before.voters.map(voter => voter.id));
    const is = new Set(after.voters.map(voter => voter.id));
    const known = new Set(replicasOf(before).map(replica => replica.id));
    for (const {id, url} of after.learners) {
      if (!known.has(id)) {
        events.record('learner-added', {replica: id, url});
      }
    }
    for (const {id, url} of before.voters.filter(voter => !is.has(voter.id))) {
      events.record('voter-removed', {replica: id, url});
    }
    for (const {id, url} of after.voters.filter(voter => !was.has(voter.id))) {
      events.record('voter-added', {replica: id, url});
    }
    for (const {id, url} of repairedReplicas(before, after)) {
      events.record('replica-repaired', {replica: id, url, index});
    }
  }

  private repair(now: number): void {
    const {consensus} = this.options;
    const fresh = [...this.sightings.values()].filter(
      sighting => now - sighting.at <= SIGHTING_VALID_MS,
    );
    const next = nextConfiguration({
      group: consensus.group,
      configuration: consensus.configuration,
      discoveredReplicas: fresh,
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
    const {consensus, learnerTimeoutMs: silenceMs} = this.options;
    const progress = consensus.progressOf(id);
    return (
      progress !== undefined &&
      progress.matchIndex >= consensus.commitIndex &&
      (id === consensus.id || now - progress.heardAt < silenceMs)
    );
  }

  private isLost(id: string, now: number): boolean {
    const {consensus} = this.options;
    const progress = consensus.progressOf(id);
    return (
      id !== consensus.id &&
      progress !== undefined &&
      now - progress.heardAt >= LOST_AFTER_MS
    );
  }

  /** Asks at the URLs where no replica of the group is known. */
  private async probe(now: number): Promise<void> {
    const {consensus, peers} = this.options;
    const known = replicasOf(consensus.configuration).map(({url}) => url);
    const unknown = peers.otherUrls().filter(url => !known.includes(url));
    await this.identifyAll(unknown, now);
  }

  /** Makes itself known, so that the leader finds a replica at a URL that no seed names. */
  private async introduce(now: number): Promise<void> {
    const {peers} = this.options;
    if (peers.allowsUnlistedPeers) {
      await this.identifyAll(peers.otherUrls(), now);
    }
  }

  private async identifyAll(
    urls: readonly string[],
    now: number,
  ): Promise<Array<ReplicaIdentity | undefined>> {
    if (this.probing) {
      return [];
    }
    this.probing = true;
    const {consensus, peers} = this.options;
    const from = {id: consensus.id, group: consensus.group, url: peers.ownUrl};
    const answers = await Promise.all(
      urls.map(url =>
        this.options.fetchIdentity(url, from).catch(() => undefined),
      ),
    );
    this.probing = false;
    answers.forEach((answer, index) => {
      if (answer !== undefined) {
        this.recordDiscovered(urls[index], answer, now);
      }
    });
    return answers;
  }

  /**
   * Forms the group, once every other replica answers that it belongs to none:
   * so a replica that lost its disk cannot form a second group beside the first.
   */
  private async form(now: number): Promise<void> {
    const {consensus, peers, events} = this.options;
    const {ownUrl: own, seedUrls} = peers;
    if (!this.options.bootstrap || [...seedUrls].sort()[0] !== own) {
      this.announceWait();
      await this.introduce(now);
      return;
    }
    if (this.probing) {
      return;
    }
    const others = seedUrls.filter(peer => peer !== own);
    const answers = await this.identifyAll(others, now);
    const allNew = answers.every(answer => answer?.group === '');
    if (consensus.group !== '' || consensus.lastIndex > 0) {
      return;
    }
    if (!allNew) {
      this.announceWait();
      return;
    }
    const group = randomUUID();
    consensus.bootstrap(group, own, now);
    events.record('group-formed', {group, replica: consensus.id});
  }

  private announceWait(): void {
    if (!this.waitAnnounced) {
      this.waitAnnounced = true;
      const {id} = this.options.consensus;
      this.options.events.record('group-awaited', {replica: id});
    }
  }
}

import {randomUUID} from 'node:crypto';
import {
  isVoter,
  nextConfiguration,
  repairedBetween,
  replicasOf,
  type Configuration,
  type Consensus,
  type Sighting,
} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';
import type {Introduction, ReplicaIdentity} from '@marigoldspur/log-links';
import type {PeerTable} from './peer-table.js';

/** Options of a repair desk. */
export interface RepairDeskOptions {
  readonly consensus: Consensus;
  readonly peers: PeerTable;
  /** Whether this replica may form the group. */
  readonly bootstrap: boolean;
  /** Age from which an unheard learner is not caught up, in milliseconds. */
  readonly silenceMs: number;
  readonly events: EventLog;
  /** Asks who answers at a URL, and says who asks. */
  readonly identify: (
    url: string,
    from: Introduction,
  ) => Promise<ReplicaIdentity>;
}

/** Age from which a sighting is no longer used, in milliseconds. */
const SIGHTING_VALID_MS = 3_000;
/** A voter that has not answered for so long is replaced where a learner is caught up. */
const LOST_AFTER_MS = 1_500;

interface TimedSighting extends Sighting {
  readonly at: number;
}

/** Forms the group, and keeps a caught-up voter at each configured URL. */
export class RepairDesk {
  private readonly sightings = new Map<string, TimedSighting>();
  private probing = false;
  private waitAnnounced = false;

  constructor(private readonly options: RepairDeskOptions) {}

  /** A replica answered at a URL. */
  sighted(url: string, identity: ReplicaIdentity, now: number): void {
    const {id, group, known = []} = identity;
    const {peers} = this.options;
    known.forEach(other => peers.learn(other));
    if (peers.admits(url) && url !== peers.own) {
      peers.learn(url);
      this.sightings.set(url, {url, id, group, at: now});
    }
  }

  /** Takes the next step, if one is due. */
  tick(now: number): void {
    const {consensus} = this.options;
    if (consensus.group === '') {
      void this.form(now);
    } else if (consensus.leaderReady) {
      void this.probe(now);
      this.repair(now);
    } else if (!isVoter(consensus.configuration, consensus.id)) {
      void this.introduce(now);
    }
  }

  /** A change of the replicas was committed; each replica records it as it applies it. */
  committed(before: Configuration, after: Configuration, index: number): void {
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
    for (const {id, url} of repairedBetween(before, after)) {
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
      sightings: fresh,
      isCaughtUp: id => this.isCaughtUp(id, now),
      ...(this.options.peers.isOpen && {
        desiredVoters: this.options.peers.desiredVoters,
        isLost: id => this.isLost(id, now),
      }),
    });
    if (next !== undefined) {
      consensus.changeConfiguration(next, now);
    }
  }

  private isCaughtUp(id: string, now: number): boolean {
    const {consensus, silenceMs} = this.options;
    const progress = consensus.progressOf(id);
    return (
      progress !== undefined &&
      progress.match >= consensus.commitIndex &&
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
    const unknown = peers.others().filter(url => !known.includes(url));
    await this.identifyAll(unknown, now);
  }

  /** Makes itself known, so that the leader finds a replica at a URL that no seed names. */
  private async introduce(now: number): Promise<void> {
    const {peers} = this.options;
    if (peers.isOpen) {
      await this.identifyAll(peers.others(), now);
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
    const from = {id: consensus.id, group: consensus.group, url: peers.own};
    const answers = await Promise.all(
      urls.map(url => this.options.identify(url, from).catch(() => undefined)),
    );
    this.probing = false;
    answers.forEach((answer, index) => {
      if (answer !== undefined) {
        this.sighted(urls[index], answer, now);
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
    const {own, seedUrls} = peers;
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

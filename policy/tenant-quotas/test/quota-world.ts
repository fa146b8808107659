import type {Quota, QuotaRequest, QuotaAnswer} from '@marigoldspur/deployment';
import {rendezvousOrder} from '@marigoldspur/placement';
import {
  QuotaLedger,
  USE_WITHIN_MS,
  type QuotaTolerance,
} from '@marigoldspur/tenant-quotas';

/** Way of one message pair between an entry and a replica. */
export interface MessageWay {
  readonly thereMs: number;
  readonly backMs: number;
  readonly isLost: boolean;
}

/** A call of the tenant at one entry. */
export interface SimulatedCall {
  readonly at: number;
  readonly entry: number;
  readonly amount: number;
  /** Time that it waits for a target, in milliseconds. */
  readonly searchMs: number;
  /** Whether the target refuses it as not run. */
  readonly isRefused: boolean;
  readonly ways: readonly MessageWay[];
  /** How often it comes back if it is refused; a fixed number of times if absent. */
  readonly retries?: number;
}

/** Something that happens to a process or to the deployment. */
export interface Disturbance {
  readonly kind:
    'cut' | 'freeze' | 'restart' | 'entry-freeze' | 'members' | 'quota';
  readonly at: number;
  readonly forMs: number;
  /** Number of the process, the set of members or the quota. */
  readonly which: number;
}

/** Options of a simulated world. */
export interface WorldOptions {
  readonly tolerance: QuotaTolerance;
  readonly quotas: readonly Quota[];
  /** Sets of replicas that follow each other. */
  readonly groups: readonly (readonly string[])[];
  /** Delays with which replicas apply changes, in milliseconds; below 0 before they are committed. */
  readonly applyMs: readonly number[];
  readonly entries: number;
  readonly calls: readonly SimulatedCall[];
  readonly disturbances: readonly Disturbance[];
}

/** Units that a call used at a target. */
export interface Use {
  readonly at: number;
  readonly amount: number;
}

/** A change that the replicated log holds. */
interface Commit {
  readonly at: number;
  readonly urls: readonly string[];
  readonly quota: Quota;
}

interface Replica {
  readonly url: string;
  ledger: QuotaLedger;
  confirmedAt: number;
  applied: number;
}

const TENANT = 't';
/** Buckets are full at time 0. */
const START_AT = -60_000;
const BARRIER_VALID_MS = 1_000;
const ANSWER_TIMEOUT_MS = 300;
const SKIP_MS = 2_000;
const GIVE_BACK_DELAY_MS = 50;
const GIVE_BACK_WITHIN_MS = 500;
const MAX_RETRIES = 12;
const MAX_RETRY_MS = 1_000;
const UNAVAILABLE_RETRY_MS = 500;
const NO_WAY: MessageWay = {thereMs: 5, backMs: 5, isLost: false};

/** Entries and replicas with messages that are late or lost, in simulated time. */
export class QuotaWorld {
  readonly uses: Use[] = [];
  refusals = 0;
  private now = 0;
  private readonly events: {at: number; run: () => void}[] = [];
  private readonly commits: Commit[];
  private readonly replicas: Map<string, Replica>;
  private readonly skippedUntil = new Map<string, number>();

  constructor(private readonly options: WorldOptions) {
    const {calls, disturbances, groups, quotas} = options;
    this.commits = [{at: START_AT, urls: groups[0], quota: quotas[0]}];
    for (const {at, kind, which} of sortByTime(disturbances)) {
      const last = this.commits.at(-1)!;
      if (kind === 'members') {
        this.commits.push({...last, at, urls: groups[which % groups.length]});
      } else if (kind === 'quota') {
        this.commits.push({...last, at, quota: quotas[which % quotas.length]});
      }
    }
    // The first ones are the primary and the stand-in in each group that holds them.
    const urls = rendezvousOrder(
      TENANT,
      [...new Set(groups.flat())].map(name => ({name})),
    ).map(({name}) => name);
    this.replicas = new Map(
      urls.map(url => [
        url,
        {
          url,
          ledger: this.createLedger(url, 0, START_AT),
          confirmedAt: -Infinity,
          applied: 0,
        },
      ]),
    );
    urls.forEach((url, index) =>
      this.commits.slice(1).forEach((commit, rank) => {
        const delayMs = options.applyMs[index % options.applyMs.length];
        this.schedule(commit.at + delayMs, () => this.hear(url, rank + 1));
      }),
    );
    disturbances
      .filter(({kind}) => kind === 'restart')
      .forEach(({at, forMs, which}) => {
        const url = urls[which % urls.length];
        this.schedule(at + forMs, () => this.restart(url));
      });
    calls.forEach(call => this.schedule(call.at, () => this.begin(call)));
  }

  /** Largest quota that was in force up to `graceMs` before a time, or until another one. */
  quotasIn(from: number, to: number, graceMs: number): Quota[] {
    return this.commits
      .filter(({at}, index) => {
        const end = this.commits[index + 1]?.at ?? Infinity;
        return at <= to && end + graceMs >= from;
      })
      .map(({quota}) => quota);
  }

  run(): void {
    for (
      let next = this.takeNext();
      next !== undefined;
      next = this.takeNext()
    ) {
      this.now = next.at;
      next.run();
    }
  }

  private takeNext() {
    return this.events.pop();
  }

  /** Keeps the events in order, the next one last. */
  private schedule(at: number, run: () => void): void {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.events[middle].at > at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.events.splice(low, 0, {at, run});
  }

  private createLedger(url: string, applied: number, now: number): QuotaLedger {
    const {quota, urls} = this.commits[applied];
    const group = {ownUrl: url, urls};
    const ledger = new QuotaLedger(
      {tolerance: this.options.tolerance, group},
      now,
    );
    ledger.setTenants([{name: TENANT, keys: [], quota}], now, now);
    return ledger;
  }

  /** End of a disturbance of a process that lasts at the present time; undefined if there is none. */
  private endOf(
    kind: Disturbance['kind'],
    process: number,
  ): number | undefined {
    const count =
      kind === 'entry-freeze' ? this.options.entries : this.replicas.size;
    const ends = this.options.disturbances
      .filter(
        each =>
          each.kind === kind &&
          each.which % count === process &&
          each.at <= this.now &&
          this.now < each.at + each.forMs,
      )
      .map(({at, forMs}) => at + forMs);
    return ends.length === 0 ? undefined : Math.max(...ends);
  }

  private indexOf(url: string): number {
    return [...this.replicas.keys()].indexOf(url);
  }

  /** A replica learns of a change, unless it is down, frozen or cut off. */
  private hear(url: string, commit: number): void {
    const index = this.indexOf(url);
    const isAway =
      this.endOf('cut', index) ??
      this.endOf('freeze', index) ??
      this.endOf('restart', index);
    const replica = this.replicas.get(url)!;
    if (isAway === undefined && commit === replica.applied + 1) {
      this.apply(replica, commit);
    }
  }

  private apply(replica: Replica, commit: number): void {
    const {quota, urls} = this.commits[commit];
    replica.applied = commit;
    replica.ledger.setGroup({ownUrl: replica.url, urls}, this.now);
    const tenant = {name: TENANT, keys: [], quota};
    replica.ledger.setTenants([tenant], this.now, this.now);
  }

  private restart(url: string): void {
    const replica = this.replicas.get(url)!;
    replica.ledger = this.createLedger(url, replica.applied, this.now);
    replica.confirmedAt = -Infinity;
  }

  /** A replica handles a message at the present time; `answer` is not called if it gives none. */
  private receive(
    url: string,
    request: QuotaRequest,
    answer: (answer: QuotaAnswer) => void,
  ): void {
    const index = this.indexOf(url);
    const frozenUntil = this.endOf('freeze', index);
    if (frozenUntil !== undefined) {
      this.schedule(frozenUntil, () => this.receive(url, request, answer));
      return;
    }
    if (this.endOf('restart', index) !== undefined) {
      return;
    }
    const replica = this.replicas.get(url)!;
    if (this.endOf('cut', index) === undefined) {
      const committed = this.commits.filter(({at}) => at <= this.now).length;
      while (replica.applied < committed - 1) {
        this.apply(replica, replica.applied + 1);
      }
      replica.confirmedAt = this.now;
    }
    if (this.now - replica.confirmedAt < BARRIER_VALID_MS) {
      answer(replica.ledger.decide(request, this.now));
    }
  }

  private begin(call: SimulatedCall): void {
    this.atEntry(call.entry, () =>
      this.charge(call, 0, (url, sentAt) => this.search(call, url, sentAt)),
    );
  }

  /** Runs a step of an entry, after its freeze if it is frozen. */
  private atEntry(entry: number, run: () => void): void {
    const frozenUntil = this.endOf('entry-freeze', entry);
    if (frozenUntil === undefined) {
      run();
    } else {
      this.schedule(frozenUntil, () => this.atEntry(entry, run));
    }
  }

  /** The view that an entry has of the replicas; some hold an old one for ever. */
  private viewOf(entry: number): readonly string[] {
    const {groups} = this.options;
    const known = this.commits.filter(({at}) => at <= this.now).at(-1)!;
    return entry % 3 === 2 ? groups[entry % groups.length] : known.urls;
  }

  /** A refused call comes back, until it has been refused too often. */
  private refuse(call: SimulatedCall, waitMs: number): void {
    this.refusals += 1;
    const retries = call.retries ?? MAX_RETRIES;
    if (retries > 0) {
      const again = {...call, retries: retries - 1};
      this.schedule(this.now + waitMs, () => this.begin(again));
    }
  }

  /** Asks the replicas one after the other. */
  private charge(
    call: SimulatedCall,
    firstWay: number,
    onGrant: (url: string, sentAt: number) => void,
  ): void {
    const order = rendezvousOrder(
      TENANT,
      this.viewOf(call.entry).map(name => ({name})),
    ).map(({name}) => name);
    const ask = (rank: number, failed: number): void => {
      const url = order[rank];
      if (url === undefined || failed >= 2) {
        this.refuse(call, UNAVAILABLE_RETRY_MS);
        return;
      }
      const key = `${call.entry} ${url}`;
      if ((this.skippedUntil.get(key) ?? 0) > this.now) {
        ask(rank + 1, failed + 1);
        return;
      }
      const sentAt = this.now;
      const way = call.ways[firstWay + rank] ?? NO_WAY;
      let isSettled = false;
      const settle = (run: () => void) => () =>
        this.atEntry(call.entry, () => {
          if (!isSettled) {
            isSettled = true;
            run();
          }
        });
      const fail = () => {
        this.skippedUntil.set(key, this.now + SKIP_MS);
        ask(rank + 1, failed + 1);
      };
      const request = {
        grants: [{tenant: TENANT, amount: call.amount}],
        returns: [],
      };
      this.schedule(sentAt + way.thereMs, () =>
        this.receive(url, request, ({grants: [decision]}) => {
          if (way.isLost) {
            return;
          }
          const arrive = settle(() => {
            if (this.now - sentAt > ANSWER_TIMEOUT_MS) {
              fail();
            } else if (decision.isGranted) {
              onGrant(url, sentAt);
            } else if (decision.role === 'none') {
              ask(rank + 1, failed);
            } else {
              this.refuse(call, Math.min(decision.waitMs, MAX_RETRY_MS));
            }
          });
          this.schedule(this.now + way.backMs, arrive);
        }),
      );
      this.schedule(sentAt + ANSWER_TIMEOUT_MS + 1, settle(fail));
    };
    ask(0, 0);
  }

  /** Searches a target while the units are held; gives them back when they expire. */
  private search(call: SimulatedCall, url: string, sentAt: number): void {
    const foundAt = this.now + call.searchMs;
    let isHeld = true;
    this.schedule(sentAt + USE_WITHIN_MS + GIVE_BACK_DELAY_MS, () =>
      this.atEntry(call.entry, () => {
        if (isHeld) {
          isHeld = false;
          this.giveBack(call, url, sentAt);
        }
      }),
    );
    this.schedule(foundAt, () =>
      this.atEntry(call.entry, () => {
        if (isHeld && this.now - sentAt <= USE_WITHIN_MS) {
          isHeld = false;
          this.send(call, url, sentAt);
          return;
        }
        if (isHeld) {
          isHeld = false;
          this.giveBack(call, url, sentAt);
        }
        this.charge(call, 3, (newUrl, newSentAt) =>
          this.send(call, newUrl, newSentAt),
        );
      }),
    );
  }

  private send(call: SimulatedCall, url: string, sentAt: number): void {
    if (call.isRefused) {
      this.giveBack(call, url, sentAt);
    } else {
      this.uses.push({at: this.now, amount: call.amount});
    }
  }

  private giveBack(
    {amount, ways}: SimulatedCall,
    url: string,
    sentAt: number,
  ): void {
    if (this.now - sentAt > GIVE_BACK_WITHIN_MS) {
      return;
    }
    const {thereMs} = ways[2] ?? NO_WAY;
    const request = {grants: [], returns: [{tenant: TENANT, amount}]};
    this.schedule(this.now + thereMs, () =>
      this.receive(url, request, () => undefined),
    );
  }
}

function sortByTime<Item extends {readonly at: number}>(
  items: readonly Item[],
): Item[] {
  return [...items].sort((a, b) => a.at - b.at);
}

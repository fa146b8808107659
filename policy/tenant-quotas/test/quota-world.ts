import type {Quota, QuotaRequest, QuotaAnswer} from '@marigoldspur/deployment';
import {
  OutageReserve,
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

/** Units that one replica granted. */
interface Part {
  /** Undefined if the entry took the units from its reserve. */
  readonly url: string | undefined;
  readonly sentAt: number;
  readonly amount: number;
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
const BARRIER_VALID_MS = 2_000;
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
  private readonly reserves: readonly OutageReserve[];

  constructor(private readonly options: WorldOptions) {
    const {calls, disturbances, entries, groups, quotas, tolerance} = options;
    this.reserves = Array.from({length: entries}, () => {
      const reserve = new OutageReserve({tolerance, startedAt: START_AT});
      reserve.recordEntries(entries, START_AT);
      return reserve;
    });
    this.commits = [{at: START_AT, urls: groups[0], quota: quotas[0]}];
    for (const {at, kind, which} of sortByTime(disturbances)) {
      const last = this.commits.at(-1)!;
      if (kind === 'members') {
        this.commits.push({...last, at, urls: groups[which % groups.length]});
      } else if (kind === 'quota') {
        this.commits.push({...last, at, quota: quotas[which % quotas.length]});
      }
    }
    const urls = [...new Set(groups.flat())];
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
    const {tolerance} = this.options;
    const ledger = new QuotaLedger({tolerance, group});
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
      this.charge(call, 0, parts => this.search(call, parts)),
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

  /** Asks the replicas one after the other for all units, and then for parts of them. */
  private charge(
    call: SimulatedCall,
    firstWay: number,
    onGrant: (parts: readonly Part[]) => void,
  ): void {
    const urls = this.viewOf(call.entry);
    const start = call.amount % urls.length;
    const order = [...urls.slice(start), ...urls.slice(0, start)];
    const parts: Part[] = [];
    let missing = call.amount;
    let waitMs = Infinity;
    let hasFailed = false;
    const ask = (rank: number): void => {
      const isDivisible = rank >= order.length;
      const url = order[rank % order.length];
      if (missing <= 0) {
        onGrant(parts);
        return;
      }
      if (rank >= 2 * order.length) {
        parts.forEach(part => this.giveBack(call, part));
        if (hasFailed && this.takeReserve(call)) {
          onGrant([{url: undefined, sentAt: this.now, amount: call.amount}]);
          return;
        }
        const isKnown = Number.isFinite(waitMs);
        this.refuse(
          call,
          isKnown ? Math.min(waitMs, MAX_RETRY_MS) : UNAVAILABLE_RETRY_MS,
        );
        return;
      }
      const key = `${call.entry} ${url}`;
      if ((this.skippedUntil.get(key) ?? 0) > this.now) {
        hasFailed = true;
        ask(rank + 1);
        return;
      }
      const sentAt = this.now;
      const way =
        call.ways[(firstWay + rank) % Math.max(1, call.ways.length)] ?? NO_WAY;
      let isSettled = false;
      const settle = (run: () => void) => () =>
        this.atEntry(call.entry, () => {
          if (!isSettled) {
            isSettled = true;
            run();
          }
        });
      const fail = () => {
        hasFailed = true;
        this.skippedUntil.set(key, this.now + SKIP_MS);
        ask(rank + 1);
      };
      const request = {
        grants: [{tenant: TENANT, amount: missing, isDivisible}],
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
              return;
            }
            if (decision.granted > 0) {
              parts.push({url, sentAt, amount: decision.granted});
              missing -= decision.granted;
            }
            waitMs = Math.min(waitMs, decision.waitMs ?? Infinity);
            ask(rank + 1);
          });
          this.schedule(this.now + way.backMs, arrive);
        }),
      );
      this.schedule(sentAt + ANSWER_TIMEOUT_MS + 1, settle(fail));
    };
    ask(0);
  }

  private takeReserve({amount, entry}: SimulatedCall): boolean {
    return this.reserves[entry].take({tenant: TENANT, amount}, this.now);
  }

  /** Searches a target while the units are held; gives them back when they expire. */
  private search(call: SimulatedCall, parts: readonly Part[]): void {
    const sentAt = Math.min(...parts.map(part => part.sentAt));
    const foundAt = this.now + call.searchMs;
    let isHeld = true;
    const giveBack = () => {
      isHeld = false;
      parts.forEach(part => this.giveBack(call, part));
    };
    this.schedule(sentAt + USE_WITHIN_MS + GIVE_BACK_DELAY_MS, () =>
      this.atEntry(call.entry, () => {
        if (isHeld) {
          giveBack();
        }
      }),
    );
    this.schedule(foundAt, () =>
      this.atEntry(call.entry, () => {
        if (isHeld && this.now - sentAt <= USE_WITHIN_MS) {
          isHeld = false;
          this.send(call, parts);
          return;
        }
        if (isHeld) {
          giveBack();
        }
        this.charge(call, 3, newParts => this.sendIfUsable(call, newParts));
      }),
    );
  }

  /** Sends a call whose search has ended, unless its units have expired meanwhile. */
  private sendIfUsable(call: SimulatedCall, parts: readonly Part[]): void {
    if (parts.every(({sentAt}) => this.now - sentAt <= USE_WITHIN_MS)) {
      this.send(call, parts);
    } else {
      parts.forEach(part => this.giveBack(call, part));
      this.refuse(call, UNAVAILABLE_RETRY_MS);
    }
  }

  private send(call: SimulatedCall, parts: readonly Part[]): void {
    if (call.isRefused) {
      parts.forEach(part => this.giveBack(call, part));
    } else {
      this.uses.push({at: this.now, amount: call.amount});
    }
  }

  private giveBack(
    {entry, ways}: SimulatedCall,
    {amount, sentAt, url}: Part,
  ): void {
    if (this.now - sentAt > GIVE_BACK_WITHIN_MS) {
      return;
    }
    if (url === undefined) {
      this.reserves[entry].putBack({tenant: TENANT, amount}, this.now);
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

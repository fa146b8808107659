import type {DatedCrash, RequestCrashLedger} from './request-crash-ledger.js';

/** Why a request is held to crash engines. */
export interface RequestBlame {
  /** Fingerprint of the request. */
  readonly request: string;
  /** Number of engines that crashed. */
  readonly engines: number;
  /** Names of the entries that saw the crashes. */
  readonly entries: readonly string[];
  /** Time of the first of these crashes, in milliseconds. */
  readonly since: number;
}

/** Engines that have to crash after they began to respond to a request. */
const MIN_CRASHES_WITH_HEAD = 3;
/** The same if it is not known that they had begun. Requests may meet three crashes by chance. */
const MIN_CRASHES = 4;
/** Crashes after which one of several requests that were always together is blamed. */
const MIN_CRASHES_TOGETHER = 6;

/** The requests that crash engines. */
export interface RequestBlames {
  /** By fingerprint. */
  readonly byRequest: ReadonlyMap<string, RequestBlame>;
  /** The request that crashed each engine, by engine incarnation as ID/START. */
  readonly causes: ReadonlyMap<string, string>;
}

/** The evidence against one request: crashes that no blamed request explains. */
interface RequestEvidence {
  readonly request: string;
  /** Crashes by engine. */
  readonly crashes: ReadonlyMap<string, DatedCrash>;
  readonly withHead: number;
}

/**
 * Finds the requests that crash engines. A crash speaks against each request that was at the
 * engine and has not been answered completely since. Those that were at most crashes are
 * blamed first, and explain these crashes for all others.
 */
export function findBlamedRequests(ledger: RequestCrashLedger): RequestBlames {
  const open = ledger.openCrashes();
  const byRequest = new Map<string, RequestBlame>();
  const causes = new Map<string, string>();
  for (;;) {
    const evidence = collectEvidence(open, causes);
    const next = evidence.find(each => isBlamed(each, evidence));
    if (next === undefined) {
      return {byRequest, causes};
    }
    byRequest.set(next.request, createBlame(next));
    for (const engine of next.crashes.keys()) {
      causes.set(engine, next.request);
    }
  }
}

/** Returns the requests with enough crashes for a blame, those with the most first. */
function collectEvidence(
  open: ReadonlyMap<string, readonly DatedCrash[]>,
  causes: ReadonlyMap<string, string>,
): RequestEvidence[] {
  const evidence: RequestEvidence[] = [];
  for (const [request, dated] of open) {
    const unexplained = dated.filter(each => !causes.has(engineOf(each)));
    if (unexplained.length >= MIN_CRASHES_WITH_HEAD) {
      evidence.push({
        request,
        crashes: new Map(unexplained.map(each => [engineOf(each), each])),
        withHead: unexplained.filter(({crash}) => crash.hasHead).length,
      });
    }
  }
  return evidence.sort(
    (a, b) =>
      b.crashes.size - a.crashes.size ||
      b.withHead - a.withHead ||
      (a.request < b.request ? -1 : 1),
  );
}

function isBlamed(
  evidence: RequestEvidence,
  all: readonly RequestEvidence[],
): boolean {
  const {crashes, withHead} = evidence;
  const isEnough =
    withHead >= MIN_CRASHES_WITH_HEAD || crashes.size >= MIN_CRASHES;
  return (
    isEnough &&
    (crashes.size >= MIN_CRASHES_TOGETHER ||
      !all.some(other => other !== evidence && isAsLikely(other, evidence)))
  );
}

/** Whether another request was at all the crashes that speak against one, and as far on. */
function isAsLikely(other: RequestEvidence, one: RequestEvidence): boolean {
  return (
    other.withHead >= one.withHead &&
    [...one.crashes.keys()].every(engine => other.crashes.has(engine))
  );
}

function createBlame({crashes, request}: RequestEvidence): RequestBlame {
  const dated = [...crashes.values()];
  return {
    request,
    engines: crashes.size,
    entries: [...new Set(dated.map(({crash}) => crash.entry))].sort(),
    since: Math.min(...dated.map(({at}) => at)),
  };
}

function engineOf({crash: {bornAt, target}}: DatedCrash): string {
  return `${target}/${bornAt}`;
}

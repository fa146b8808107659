import type {ClockReading} from '@marigoldspur/clock-readings';
import {expect} from 'chai';
import fc from 'fast-check';
import {KeyFreshness} from '@marigoldspur/tenant-access';

const SEED = 20261206;
const RUNS = 3_000;
const REVOKE_MS = 5_000;
const FIRST_REVISION = 1;
const START: ClockReading = {monotonicMs: 0, wallMs: 1_000_000};

/** One thing that happens to an entry, to control or to a message between them. */
type Action =
  | {readonly kind: 'wait' | 'freeze' | 'suspend' | 'step'; readonly ms: number}
  | {
      readonly kind: 'query';
      /** Times from the request to its quorum barrier, and from there to the answer. */
      readonly barrierMs: number;
      readonly answerMs: number;
      readonly isLost: boolean;
    }
  | {readonly kind: 'commit' | 'remove' | 'apply'};

const SHORT = fc.integer({min: 0, max: 400});
const DURATION = fc.oneof(
  SHORT,
  fc.integer({min: 0, max: REVOKE_MS}),
  fc.integer({min: 0, max: 3 * REVOKE_MS}),
);
/** Longer than all suspensions of a schedule together. */
const LARGE_STEP_MS = 10_000_000;
const ACTION: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('query' as const),
      barrierMs: DURATION,
      answerMs: DURATION,
      isLost: fc.boolean(),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom('wait' as const, 'freeze' as const),
      ms: DURATION,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('suspend' as const), ms: DURATION}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('step' as const),
      ms: fc.oneof(
        fc.integer({min: -400, max: 400}),
        fc.integer({min: -60_000, max: 60_000}),
      ),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.constantFrom(
      {kind: 'commit' as const},
      {kind: 'apply' as const},
    ),
  },
);
/** Some actions, a confirmation, the removal of the key soon after it, and more actions. */
const SCHEDULE: fc.Arbitrary<Action[]> = fc
  .tuple(
    fc.array(ACTION, {maxLength: 3}),
    fc.tuple(SHORT, SHORT, SHORT),
    fc.array(ACTION, {minLength: 1, maxLength: 20, size: 'max'}),
  )
  .map(([before, [barrierMs, answerMs, ms], after]) => [
    ...before,
    {kind: 'apply'},
    {kind: 'query', barrierMs, answerMs, isLost: false},
    {kind: 'wait', ms: barrierMs + answerMs},
    {kind: 'remove'},
    {kind: 'wait', ms},
    ...after,
  ]);

/** An answer on its way to the entry. */
interface Answer {
  readonly requestedAt: ClockReading;
  readonly barrierAt: number;
  readonly arrivesAt: number;
}

/** An entry whose key is removed by a later revision, and control, in true time. */
class Model {
  private readonly freshness = new KeyFreshness(REVOKE_MS);
  private now = 0;
  private suspendedMs = 0;
  private steppedMs = 0;
  /** Commit times of the revisions. */
  private readonly commits = [{revision: FIRST_REVISION, at: 0}];
  private removal: {readonly revision: number; readonly at: number} | undefined;
  private applied = FIRST_REVISION;
  private answers: Answer[] = [];

  run(action: Action): void {
    switch (action.kind) {
      case 'wait':
        this.advance(action.ms);
        break;
      case 'freeze':
        this.now += action.ms;
        break;
      case 'suspend':
        this.now += action.ms;
        this.suspendedMs += action.ms;
        break;
      case 'step':
        this.steppedMs += action.ms;
        break;
      case 'query':
        if (!action.isLost) {
          const barrierAt = this.now + action.barrierMs;
          const arrivesAt = barrierAt + action.answerMs;
          this.answers.push({requestedAt: this.read(), barrierAt, arrivesAt});
        }
        break;
      case 'commit':
        this.commit();
        break;
      case 'remove':
        this.removal ??= {revision: this.commit(), at: this.now};
        break;
      case 'apply':
        this.applied = this.revisionAt(this.now);
        break;
    }
  }

  /** How long after the commit of its removal the key is used now; undefined if it is not used. */
  useAfterRemovalMs(): number | undefined {
    const {removal} = this;
    const hasKey = removal === undefined || this.applied < removal.revision;
    const isUsed = hasKey && this.freshness.isFresh(this.applied, this.read());
    return isUsed ? this.now - (removal?.at ?? this.now) : undefined;
  }

  /** Lets the entry run; it receives answers when they arrive, or later if it did not run then. */
  private advance(ms: number): void {
    const end = this.now + ms;
    const arriving = this.answers
      .filter(({arrivesAt}) => arrivesAt <= end)
      .sort((a, b) => a.arrivesAt - b.arrivesAt);
    for (const {arrivesAt, barrierAt, requestedAt} of arriving) {
      this.now = Math.max(this.now, arrivesAt);
      const revision = this.revisionAt(barrierAt);
      this.freshness.recordConfirmation(revision, requestedAt);
    }
    this.answers = this.answers.filter(({arrivesAt}) => arrivesAt > end);
    this.now = end;
  }

  private commit(): number {
    const revision = this.commits.at(-1)!.revision + 1;
    this.commits.push({revision, at: this.now});
    return revision;
  }

  private revisionAt(time: number): number {
    return this.commits.filter(({at}) => at <= time).at(-1)!.revision;
  }

  private read(): ClockReading {
    return {
      monotonicMs: START.monotonicMs + this.now - this.suspendedMs,
      wallMs: START.wallMs + this.now + this.steppedMs,
    };
  }
}

/**
 * A backward step of the wall clock that equals a suspension hides it from both clocks. So
 * schedules have no suspensions, or large steps alone.
 */
function withoutHiddenSuspensions(
  actions: readonly Action[],
  hasSuspensions: boolean,
): Action[] {
  return actions.map(action => {
    if (action.kind === 'suspend' && !hasSuspensions) {
      return {...action, kind: 'freeze'};
    }
    return action.kind === 'step' && hasSuspensions
      ? {...action, ms: Math.sign(action.ms) * LARGE_STEP_MS}
      : action;
  });
}

it('key freshness: whatever freezes, suspensions, steps of the wall clock and lost answers happen, a key is not used later than the revocation time after its removal', () => {
  let usesAfterRemoval = 0;
  fc.assert(
    fc.property(SCHEDULE, fc.boolean(), (actions, hasSuspensions) => {
      const model = new Model();
      for (const action of withoutHiddenSuspensions(actions, hasSuspensions)) {
        model.run(action);
        const usedAfterMs = model.useAfterRemovalMs() ?? 0;
        usesAfterRemoval += usedAfterMs > 0 ? 1 : 0;
        expect(usedAfterMs).to.be.at.most(REVOKE_MS);
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
  // Schedules in which a removed key is never used would prove nothing.
  expect(usesAfterRemoval).to.be.above(100);
});

it('key freshness: an entry that is confirmed at each eighth of the revocation time can always use keys', () => {
  const freshness = new KeyFreshness(REVOKE_MS);
  const answerMs = 400;
  for (let ms = 0; ms < 20 * REVOKE_MS; ms += REVOKE_MS / 8) {
    freshness.recordConfirmation(FIRST_REVISION, timeAfter(ms));
    const isFresh = freshness.isFresh(FIRST_REVISION, timeAfter(ms + answerMs));
    expect(isFresh).to.equal(true);
  }
});

it('key freshness: a confirmation holds from its request for nine tenths of the revocation time', () => {
  const freshness = new KeyFreshness(REVOKE_MS);
  expect(freshness.isFresh(FIRST_REVISION, START)).to.equal(false);
  freshness.recordConfirmation(FIRST_REVISION, START);
  const isFreshAfter = (ms: number) =>
    freshness.isFresh(FIRST_REVISION, timeAfter(ms));
  expect(isFreshAfter(0.9 * REVOKE_MS - 1)).to.equal(true);
  expect(isFreshAfter(0.9 * REVOKE_MS)).to.equal(false);
});

it('key freshness: a confirmation of a newer revision than the applied one does not count, and does not void an older one', () => {
  const freshness = new KeyFreshness(REVOKE_MS);
  freshness.recordConfirmation(FIRST_REVISION + 1, timeAfter(500));
  expect(freshness.isFresh(FIRST_REVISION, timeAfter(600))).to.equal(false);
  expect(freshness.isFresh(FIRST_REVISION + 1, timeAfter(600))).to.equal(true);
  freshness.recordConfirmation(FIRST_REVISION, START);
  expect(freshness.ageMs(FIRST_REVISION, timeAfter(600))).to.equal(600);
  expect(freshness.ageMs(FIRST_REVISION + 1, timeAfter(600))).to.equal(100);
});

it('key freshness: clocks that diverge by more than 250 ms void a confirmation', () => {
  const freshness = new KeyFreshness(REVOKE_MS);
  freshness.recordConfirmation(FIRST_REVISION, START);
  for (const [divergenceMs, isFresh] of [
    [250, true],
    [251, false],
    [-250, true],
    [-251, false],
  ] as const) {
    const {monotonicMs, wallMs} = timeAfter(1_000);
    const now = {monotonicMs, wallMs: wallMs + divergenceMs};
    expect(freshness.isFresh(FIRST_REVISION, now)).to.equal(isFresh);
  }
});

function timeAfter(ms: number): ClockReading {
  return {
    monotonicMs: START.monotonicMs + ms,
    wallMs: START.wallMs + ms,
  };
}

import {expect} from 'chai';
import {LoopClock} from '@marigoldspur/loop-clock';
import {LoadShedder, shedCallDelayMs} from '@marigoldspur/overload-protection';

/** A call in a process that handles all pending steps of calls in each turn of its event loop. */
interface PendingCall {
  readonly arrivedAt: number;
  readonly priority: number;
  stepsLeft: number;
}

/** Calls by priority. */
interface Outcome {
  arrived: number;
  refused: number;
  inTime: number;
}

const STEPS_PER_CALL = 5;
const STEP_MS = 2.4;
const REFUSAL_MS = 1;
const TIMER_MS = 20;
const OBJECTIVE_MS = 400;
/** Calls that the process can serve in a second. */
const CAPACITY = 1_000 / (STEPS_PER_CALL * STEP_MS);

/** Numbers in [0, 1) that are the same in each run. */
function createRandom(): () => number {
  let state = 1;
  return () => (state = (state * 16_807) % 2_147_483_647) / 2_147_483_647;
}

/** Plays `rate` calls a second with three priorities for some seconds. */
function play(rate: number, seconds: number, isShedding: boolean): Outcome[] {
  const shedder = new LoadShedder();
  const clock = new LoopClock(0);
  const random = createRandom();
  const outcomes = [0, 1, 2].map(() => ({arrived: 0, refused: 0, inTime: 0}));
  let pending: PendingCall[] = [];
  let now = 0;
  let timerAt = 0;
  let sent = 0;
  while (now < seconds * 1_000) {
    if (now - timerAt >= TIMER_MS) {
      timerAt = now;
      clock.recordTurn(now);
    }
    let end = now;
    for (; sent < (rate * now) / 1_000; sent += 1) {
      const priority = sent % 3;
      const call = {priority, turnMs: clock.lastingTurnMs};
      const outcome = outcomes[priority];
      outcome.arrived += 1;
      if (isShedding && shedder.refuses(call, now, random())) {
        outcome.refused += 1;
        end += REFUSAL_MS;
      } else {
        const arrivedAt = (sent * 1_000) / rate;
        pending.push({arrivedAt, priority, stepsLeft: STEPS_PER_CALL});
      }
    }
    for (const call of pending) {
      end += STEP_MS;
      call.stepsLeft -= 1;
      if (call.stepsLeft === 0 && end - call.arrivedAt <= OBJECTIVE_MS) {
        outcomes[call.priority].inTime += 1;
      }
    }
    pending = pending.filter(({stepsLeft}) => stepsLeft > 0);
    now = Math.max(end, now + 1);
  }
  return outcomes;
}

function sum(outcomes: readonly Outcome[], figure: keyof Outcome): number {
  return outcomes.reduce((total, outcome) => total + outcome[figure], 0);
}

it('load shedder: below the capacity nothing is refused', () => {
  expect(sum(play(CAPACITY * 0.8, 20, true), 'refused')).to.equal(0);
});

// Guards against a burst above the capacity in which all calls wait and all are late.
it('load shedder: in a burst of a third above the capacity most calls that are served are in time', () => {
  const rate = CAPACITY * 1.33;
  const unshed = play(rate, 8, false);
  const shed = play(rate, 8, true);
  expect(sum(unshed, 'inTime') / sum(unshed, 'arrived')).to.be.below(0.3);
  expect(sum(shed, 'inTime') / sum(shed, 'arrived')).to.be.above(0.55);
});

// Guards against urgent calls that are refused while others are served, and against kinds that starve.
it('load shedder: the least urgent calls are refused first, but a part of each priority is served', () => {
  const [first, second, third] = play(CAPACITY * 2, 30, true);
  const share = ({arrived, refused}: Outcome) => refused / arrived;
  expect(share(third)).to.be.above(share(second));
  expect(share(second)).to.be.above(share(first));
  expect(share(third)).to.be.below(0.8);
});

// Guards against refusals after a freeze, or while a large deployment is applied.
it('load shedder: single long turns refuse nothing', () => {
  const shedder = new LoadShedder();
  const clock = new LoopClock(0);
  let now = 0;
  for (let turn = 0; turn < 100; turn += 1) {
    now += turn % 10 === 0 ? 600 : TIMER_MS;
    clock.recordTurn(now);
    const call = {priority: 1, turnMs: clock.lastingTurnMs};
    expect(shedder.refuses(call, now, 0)).to.equal(false);
  }
});

it('load shedder: callers with more time come back later', () => {
  expect(shedCallDelayMs(1_600, 0)).to.equal(400);
  expect(shedCallDelayMs(1_600, 0.5)).to.equal(600);
  expect(shedCallDelayMs(12_000, 0.9)).to.equal(3_000);
  expect(shedCallDelayMs(100, 0.5)).to.equal(200);
});

import {expect} from 'chai';
import type {Result} from 'true-myth';
import {
  AdmissionController,
  type AdmissionSettings,
  type AdmissionPermit,
} from '@marigoldspur/admission';
import type {Refusal} from '@marigoldspur/faults';

const SETTINGS: AdmissionSettings = {
  concurrency: 1,
  priority: 5,
  queueDeadlineMs: 60_000,
  queueLimit: 100,
};
const STAYS = new AbortController().signal;

type Outcome = Result<AdmissionPermit, Refusal>;

function admission(maxRunning = 100): AdmissionController {
  return new AdmissionController({maxRunning, random: () => 0});
}

function refusalOf(outcome: Outcome): Refusal {
  if (outcome.isOk) {
    throw new Error('the request was admitted');
  }
  return outcome.error;
}

function release(outcome: Outcome, now: number): void {
  if (outcome.isErr) {
    throw outcome.error;
  }
  outcome.value.release(now);
}

it('admission: the most urgent waiting request goes first', async () => {
  const desk = admission();
  const order: number[] = [];
  const first = await desk.admit('callao', SETTINGS, STAYS, 0);
  const waiting = [7, 3].map(async priority => {
    const admitted = await desk.admit(
      'callao',
      {...SETTINGS, priority},
      STAYS,
      0,
    );
    order.push(priority);
    release(admitted, 0);
  });
  release(first, 0);
  await Promise.all(waiting);
  expect(order).to.deep.equal([3, 7]);
});

it('admission: a customer with a flood does not starve another', async () => {
  const desk = admission(2);
  const settings = {...SETTINGS, concurrency: 50};
  const order: string[] = [];
  const held = [
    await desk.admit('callao', settings, STAYS, 0),
    await desk.admit('callao', settings, STAYS, 0),
  ];
  const waiting = [...Array(10).fill('callao'), 'fretwell'].map(
    async (customer: string) => {
      const admitted = await desk.admit(customer, settings, STAYS, 0);
      order.push(customer);
      release(admitted, 0);
    },
  );
  release(held[0], 0);
  release(held[1], 0);
  await Promise.all(waiting);
  expect(order[0]).to.equal('fretwell');
});

it('admission: one over the queue’s bound is refused at once', async () => {
  const desk = admission();
  const settings = {...SETTINGS, queueLimit: 1};
  await desk.admit('callao', settings, STAYS, 0);
  void desk.admit('callao', settings, STAYS, 0);
  const third = await desk.admit('callao', settings, STAYS, 0);
  expect(refusalOf(third)).to.include({outcome: 'not-run', status: 429});
});

it('admission: predicted lateness is refused at once, with when to come back', async () => {
  const desk = admission();
  const settings = {...SETTINGS, queueDeadlineMs: 5_000};
  release(await desk.admit('callao', settings, STAYS, 0), 3_000);
  await desk.admit('callao', settings, STAYS, 3_000);
  void desk.admit('callao', settings, STAYS, 3_000);
  const late = await desk.admit('callao', settings, STAYS, 3_000);
  expect(refusalOf(late)).to.include({
    message: 'the wait would be too long',
    retryAfterSeconds: 6,
  });
});

it('admission: a wait ends at its deadline', async () => {
  const desk = admission();
  const settings = {...SETTINGS, queueDeadlineMs: 20};
  await desk.admit('callao', settings, STAYS, 0);
  const late = await desk.admit('callao', settings, STAYS, 0);
  expect(refusalOf(late).message).to.equal('the wait was too long');
});

it('admission: a caller that goes away leaves the queue and keeps no turn', async () => {
  const desk = admission();
  const gone = new AbortController();
  const first = await desk.admit('callao', SETTINGS, STAYS, 0);
  const second = desk.admit('callao', SETTINGS, gone.signal, 0);
  const third = desk.admit('callao', SETTINGS, STAYS, 0);
  gone.abort();
  expect((await second).isErr).to.equal(true);
  release(first, 0);
  expect((await third).isOk).to.equal(true);
});

it('admission: a caller that goes away while it runs keeps its turn until the end', async () => {
  const desk = admission();
  const gone = new AbortController();
  const first = await desk.admit('callao', SETTINGS, gone.signal, 0);
  gone.abort();
  let admitted = false;
  const second = desk.admit('callao', SETTINGS, STAYS, 0).then(() => {
    admitted = true;
  });
  await new Promise(resolve => setImmediate(resolve));
  expect(admitted).to.equal(false);
  release(first, 0);
  await second;
});

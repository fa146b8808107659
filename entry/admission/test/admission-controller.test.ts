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
const CONNECTED = new AbortController().signal;

type Outcome = Result<AdmissionPermit, Refusal>;

function createController(maxRunning = 100): AdmissionController {
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
  const controller = createController();
  const order: number[] = [];
  const first = await controller.admit('callao', SETTINGS, CONNECTED, 0);
  const waiting = [7, 3].map(async priority => {
    const admitted = await controller.admit(
      'callao',
      {...SETTINGS, priority},
      CONNECTED,
      0,
    );
    order.push(priority);
    release(admitted, 0);
  });
  release(first, 0);
  await Promise.all(waiting);
  expect(order).to.deep.equal([3, 7]);
});

it('admission: a customer with many requests does not starve another', async () => {
  const controller = createController(2);
  const settings = {...SETTINGS, concurrency: 50};
  const order: string[] = [];
  const held = [
    await controller.admit('callao', settings, CONNECTED, 0),
    await controller.admit('callao', settings, CONNECTED, 0),
  ];
  const waiting = [...Array(10).fill('callao'), 'fretwell'].map(
    async (customer: string) => {
      const admitted = await controller.admit(customer, settings, CONNECTED, 0);
      order.push(customer);
      release(admitted, 0);
    },
  );
  release(held[0], 0);
  release(held[1], 0);
  await Promise.all(waiting);
  expect(order[0]).to.equal('fretwell');
});

it('admission: a request beyond the queue limit is refused immediately', async () => {
  const controller = createController();
  const settings = {...SETTINGS, queueLimit: 1};
  await controller.admit('callao', settings, CONNECTED, 0);
  void controller.admit('callao', settings, CONNECTED, 0);
  const third = await controller.admit('callao', settings, CONNECTED, 0);
  expect(refusalOf(third)).to.include({outcome: 'not-run', status: 429});
});

it('admission: a request that would wait too long is refused immediately with a retry delay', async () => {
  const controller = createController();
  const settings = {...SETTINGS, queueDeadlineMs: 5_000};
  release(await controller.admit('callao', settings, CONNECTED, 0), 3_000);
  await controller.admit('callao', settings, CONNECTED, 3_000);
  void controller.admit('callao', settings, CONNECTED, 3_000);
  const late = await controller.admit('callao', settings, CONNECTED, 3_000);
  expect(refusalOf(late)).to.include({
    message: 'the expected wait exceeds the queue deadline',
    retryAfterSeconds: 6,
  });
});

it('admission: a wait ends at the queue deadline', async () => {
  const controller = createController();
  const settings = {...SETTINGS, queueDeadlineMs: 20};
  await controller.admit('callao', settings, CONNECTED, 0);
  const late = await controller.admit('callao', settings, CONNECTED, 0);
  expect(refusalOf(late).message).to.equal(
    'the request waited until the queue deadline',
  );
});

it('admission: a caller that disconnects leaves the queue and holds no slot', async () => {
  const controller = createController();
  const disconnect = new AbortController();
  const first = await controller.admit('callao', SETTINGS, CONNECTED, 0);
  const second = controller.admit('callao', SETTINGS, disconnect.signal, 0);
  const third = controller.admit('callao', SETTINGS, CONNECTED, 0);
  disconnect.abort();
  expect((await second).isErr).to.equal(true);
  release(first, 0);
  expect((await third).isOk).to.equal(true);
});

it('admission: a caller that disconnects while its request runs holds its slot until the end', async () => {
  const controller = createController();
  const disconnect = new AbortController();
  const first = await controller.admit(
    'callao',
    SETTINGS,
    disconnect.signal,
    0,
  );
  disconnect.abort();
  let isAdmitted = false;
  const second = controller.admit('callao', SETTINGS, CONNECTED, 0).then(() => {
    isAdmitted = true;
  });
  await new Promise(resolve => setImmediate(resolve));
  expect(isAdmitted).to.equal(false);
  release(first, 0);
  await second;
});

import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {unlessAborted} from '@marigoldspur/abort-signals';
import type {AdmissionController} from '@marigoldspur/admission';
import {listModels, writeRefusal} from '@marigoldspur/caller-api';
import type {CallerAuthenticator} from '@marigoldspur/caller-authentication';
import type {SettingsFollower} from '@marigoldspur/control-client';
import {createShuttingDownRefusal} from '@marigoldspur/drain-admission';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal, toFault} from '@marigoldspur/faults';
import type {AttemptRunner} from './attempt-runner.js';
import type {IdempotentRunner} from './idempotent-runner.js';
import type {SettingsConfirmationTracker} from './settings-confirmation-tracker.js';
import type {EntryMetrics} from './entry-metrics.js';
import {refuseIfIsolated} from './isolation.js';
import type {Job} from './job.js';
import type {RequestReader} from './request-reader.js';

/** Options of a request handler. */
export interface RequestHandlerOptions {
  readonly settingsFollower: SettingsFollower;
  readonly confirmations: SettingsConfirmationTracker;
  readonly reader: RequestReader;
  readonly authenticator: CallerAuthenticator;
  readonly admission: AdmissionController;
  readonly runner: AttemptRunner;
  readonly idempotentRunner: IdempotentRunner;
  /** Aborts when requests that still run have to be answered. */
  readonly shutdownSignal: AbortSignal;
  readonly events: EventLog;
  readonly metrics: EntryMetrics;
}

/**
 * Handles callers' requests, from reading to the complete response or a
 * refusal.
 */
export class RequestHandler {
  private runningRequests = 0;

  constructor(private readonly options: RequestHandlerOptions) {}

  /** Number of requests that run or wait. */
  get runningCount(): number {
    return this.runningRequests;
  }

  /** Handles one request that arrived at `arrivedAt`, in milliseconds, at the earliest. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
  ) {
    const id = randomUUID();
    this.options.metrics.setRunning((this.runningRequests += 1));
    try {
      await this.serve(id, request, response, arrivedAt);
    } catch (thrown) {
      const {message} = toFault(thrown);
      this.options.events.record('request-error', {message}, id);
      this.refuse(response, id, createInternalErrorRefusal());
    } finally {
      this.options.metrics.setRunning((this.runningRequests -= 1));
    }
  }

  private async serve(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
  ): Promise<void> {
    if (request.method === 'GET' && request.url === '/v1/models') {
      this.listModels(id, request, response);
      return;
    }
    const job = await this.options.reader.read(
      id,
      request,
      response,
      arrivedAt,
    );
    if (job.isErr) {
      this.refuse(response, id, job.error);
      return;
    }
    const {customer, service} = job.value.request;
    this.options.events.record('request-received', {customer, service}, id);
    const refusal = await this.admitAndRun(job.value, response).finally(
      job.value.dispose,
    );
    if (refusal !== undefined) {
      this.refuse(response, id, refusal, service);
    }
  }

  private listModels(
    id: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const customer = this.options.authenticator.authenticate(request.headers);
    if (customer.isErr) {
      this.refuse(response, id, customer.error);
      return;
    }
    const {tree} = this.options.settingsFollower.settings;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(listModels(tree, customer.value)));
  }

  /** Serves a job; returns a refusal if one remains to be sent. */
  private async admitAndRun(
    job: Job,
    response: ServerResponse,
  ): Promise<Refusal | undefined> {
    const {confirmations, admission, runner, idempotentRunner, shutdownSignal} =
      this.options;
    const now = performance.now();
    const refusal = refuseIfIsolated(job, confirmations.lastConfirmedAt, now);
    if (refusal !== undefined) {
      return refusal;
    }
    const permit = admission.admit(
      job.request.customer,
      job.settings,
      job.disconnectSignal,
      now,
    );
    const admitted = await unlessAborted(permit, shutdownSignal);
    if (admitted === undefined) {
      void permit.then(late =>
        late.map(({release}) => release(performance.now())),
      );
      return createShuttingDownRefusal();
    }
    if (admitted.isErr) {
      return admitted.error;
    }
    try {
      if (job.key !== undefined) {
        return await idempotentRunner.run({...job, key: job.key}, response);
      }
      const result = await runner.run(job, response);
      return result.isErr ? result.error : undefined;
    } finally {
      admitted.value.release(performance.now());
    }
  }

  private refuse(
    response: ServerResponse,
    id: string,
    refusal: Refusal,
    service = '',
  ): void {
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const {reason, outcome, status} = refusal;
    const details = {reason, outcome, status};
    this.options.events.record('request-refused', details, id);
    this.options.metrics.recordOutcome(service, outcome);
    writeRefusal(response, refusal, id);
  }
}

function createInternalErrorRefusal(): Refusal {
  return new Refusal(
    'unknown',
    500,
    'internal_error',
    'the entry failed to handle the request',
  );
}

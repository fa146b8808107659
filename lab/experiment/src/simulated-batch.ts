import type {Pin} from '@marigoldspur/adapter-slots';
import type {EventScheduler} from './event-scheduler.js';
import type {FigureRecorder} from './figure-recorder.js';
import type {SimulatedRequest} from './simulated-request.js';
import type {Cluster} from './workload.js';

/** A request with the pin on its adapter. */
export interface PinnedRequest {
  readonly request: SimulatedRequest;
  readonly pin: Pin;
}

/** Options of a simulated batch. */
export interface SimulatedBatchOptions {
  readonly cluster: Cluster;
  readonly scheduler: EventScheduler;
  readonly recorder: FigureRecorder;
  /** Called with each request that has ended. */
  readonly onEnded: (pinned: PinnedRequest) => void;
}

/** The batch of one engine and the queue of requests that wait for it. */
export class SimulatedBatch {
  private readonly queue: PinnedRequest[] = [];
  private readonly running = new Set<PinnedRequest>();
  private incarnation = 0;
  private lastRecordedAt = 0;

  constructor(private readonly options: SimulatedBatchOptions) {}

  /** Number of running and queued requests. */
  get load(): number {
    return this.running.size + this.queue.length;
  }

  /** Starts a request, or queues it while the batch is full. */
  submit(pinned: PinnedRequest): void {
    if (this.running.size >= this.options.cluster.batchLimit) {
      this.queue.push(pinned);
      return;
    }
    this.start(pinned);
  }

  /** The running and queued requests. */
  requests(): SimulatedRequest[] {
    return [...this.running, ...this.queue].map(pinned => pinned.request);
  }

  /** Empties the queue and returns its requests; running requests continue. */
  drainQueue(): PinnedRequest[] {
    return this.queue.splice(0);
  }

  /** Discards all running and queued requests. */
  restart(): void {
    this.recordFill();
    this.incarnation += 1;
    this.queue.length = 0;
    this.running.clear();
  }

  private start(pinned: PinnedRequest): void {
    const {scheduler, recorder, cluster} = this.options;
    this.recordFill();
    this.running.add(pinned);
    const {request} = pinned;
    const extraMs = cluster.tokenMsPerRequest * (this.running.size - 1);
    const firstTokenMs = cluster.firstTokenMs + extraMs;
    if (!request.hasStarted) {
      request.hasStarted = true;
      recorder.recordFirstToken(
        request.arrival.at,
        scheduler.now - request.arrival.at + firstTokenMs + cluster.oneWayMs,
      );
    }
    const tokensMs = (cluster.tokenMs + extraMs) * request.arrival.tokens;
    const {incarnation} = this;
    scheduler.scheduleAfter(firstTokenMs + tokensMs, () => {
      if (this.incarnation === incarnation) {
        this.end(pinned);
      }
    });
  }

  private end(pinned: PinnedRequest): void {
    this.recordFill();
    this.running.delete(pinned);
    const next = this.queue.shift();
    this.options.onEnded(pinned);
    if (next !== undefined) {
      this.start(next);
    }
  }

  private recordFill(): void {
    const {scheduler, recorder, cluster} = this.options;
    const fill = this.running.size / cluster.batchLimit;
    recorder.recordBatchFill(fill, this.lastRecordedAt, scheduler.now);
    this.lastRecordedAt = scheduler.now;
  }
}

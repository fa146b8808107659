import type {Pin} from '@marigoldspur/adapter-slots';
import type {Job} from './job.js';
import type {Schedule} from './schedule.js';
import type {Tally} from './tally.js';
import type {Cluster} from './workload.js';

/** A request with the pin on its adapter. */
export interface Run {
  readonly job: Job;
  readonly pin: Pin;
}

/** What a batch works with. */
export interface BatchFakeOptions {
  readonly cluster: Cluster;
  readonly schedule: Schedule;
  readonly tally: Tally;
  /** Takes a run that has ended. */
  readonly ended: (run: Run) => void;
}

/** The batch of one engine with the queue before it. */
export class BatchFake {
  private readonly queue: Run[] = [];
  private readonly runs = new Set<Run>();
  private boot = 0;
  private changedAt = 0;

  constructor(private readonly options: BatchFakeOptions) {}

  /** Requests that run or wait for a place. */
  get load(): number {
    return this.runs.size + this.queue.length;
  }

  /** Runs a request, or lets it wait while the batch is full. */
  begin(run: Run): void {
    if (this.runs.size >= this.options.cluster.batchLimit) {
      this.queue.push(run);
      return;
    }
    this.run(run);
  }

  /** The requests that run or wait for a place. */
  jobs(): Job[] {
    return [...this.runs, ...this.queue].map(run => run.job);
  }

  /** Empties the queue and returns what was in it; what runs runs on. */
  takeQueue(): Run[] {
    return this.queue.splice(0);
  }

  /** Loses everything. */
  restart(): void {
    this.noteFill();
    this.boot += 1;
    this.queue.length = 0;
    this.runs.clear();
  }

  private run(run: Run): void {
    const {schedule, tally, cluster} = this.options;
    this.noteFill();
    this.runs.add(run);
    const {job} = run;
    const extraMs = cluster.tokenMsPerRequest * (this.runs.size - 1);
    const firstTokenMs = cluster.firstTokenMs + extraMs;
    if (!job.started) {
      job.started = true;
      tally.firstToken(
        job.arrival.at,
        schedule.now - job.arrival.at + firstTokenMs + cluster.oneWayMs,
      );
    }
    const tokensMs = (cluster.tokenMs + extraMs) * job.arrival.tokens;
    const {boot} = this;
    schedule.after(firstTokenMs + tokensMs, () => {
      if (this.boot === boot) {
        this.end(run);
      }
    });
  }

  private end(run: Run): void {
    this.noteFill();
    this.runs.delete(run);
    const next = this.queue.shift();
    this.options.ended(run);
    if (next !== undefined) {
      this.run(next);
    }
  }

  private noteFill(): void {
    const {schedule, tally, cluster} = this.options;
    const fill = this.runs.size / cluster.batchLimit;
    tally.ran(fill, this.changedAt, schedule.now);
    this.changedAt = schedule.now;
  }
}

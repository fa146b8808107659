import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import type {Call} from './call.js';
import type {CrashMonitor} from './crash-monitor.js';
import type {CrashWitness} from './crash-witness.js';
import type {RequestCrashMonitor} from './request-crash-monitor.js';

/** Options of a crash recorder. */
export interface CrashRecorderOptions {
  readonly crashMonitor: Pick<
    CrashMonitor,
    'findBlock' | 'recordBreak' | 'recordCompletion'
  >;
  readonly requestCrashes: Pick<
    RequestCrashMonitor,
    'findBlock' | 'recordCompletion'
  >;
  readonly crashWitness: Pick<CrashWitness, 'probe'>;
}

const RETRY_AFTER_SECONDS = 0.5;

/** Tells the crash monitors how responses end, and which calls they block. */
export class CrashRecorder {
  constructor(private readonly options: CrashRecorderOptions) {}

  /** Records that the response to a call is complete. */
  recordCompletion(call: Call): void {
    const {crashMonitor, requestCrashes} = this.options;
    const {work} = call.metadata;
    const now = performance.now();
    requestCrashes.recordCompletion(call, now);
    if (work !== undefined) {
      crashMonitor.recordCompletion(work, now);
    }
  }

  /** Records a response of which no event arrived, or that ended early if it is no stream. */
  recordBreak(
    call: Call,
    target: TargetAnnouncement,
    end: {readonly hasHead: boolean; readonly isAborted: boolean},
  ): void {
    const {crashMonitor, crashWitness} = this.options;
    const {id, work} = call.metadata;
    const {fingerprint} = call;
    const broken = {...end, id, work, fingerprint, target};
    crashMonitor.recordBreak(broken, performance.now());
    if (!end.isAborted) {
      crashWitness.probe(target);
    }
  }

  /** Whether a call must not be sent because it, or a part of its prompt, crashed engines. */
  isBlocked(call: Call): boolean {
    const {crashMonitor, requestCrashes} = this.options;
    return (
      requestCrashes.findBlock(call) !== undefined ||
      crashMonitor.findBlock(call.metadata.work) !== undefined
    );
  }

  /** Creates the refusal of a call that was cancelled because it got blocked. */
  createBlockRefusal(call: Call, outcome: RefusalOutcome): Refusal {
    const isRequest = this.options.requestCrashes.findBlock(call) !== undefined;
    return new Refusal(
      outcome,
      outcome === 'not-run' ? 503 : 502,
      isRequest ? 'request_blocked' : 'prompt_part_blocked',
      isRequest
        ? 'engines crashed on this request'
        : 'engines crashed on calls with a part of this prompt',
      outcome === 'not-run' ? RETRY_AFTER_SECONDS : undefined,
    );
  }
}

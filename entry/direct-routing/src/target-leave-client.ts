import type http from 'node:http';
import {
  TARGET_LEAVES_PATH,
  type TargetIncarnation,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';

/** Options of a target leave client. */
export interface TargetLeaveClientOptions {
  readonly agent: http.Agent;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  readonly events: EventLog;
}

const TIMEOUT_MS = 1_000;
const MAX_RESPONSE_BYTES = 4_096;

/** Tells replicas of control which targets said in an answer that they leave. */
export class TargetLeaveClient {
  constructor(private readonly options: TargetLeaveClientOptions) {}

  /** Tells all replicas, so that one that can be reached is enough. */
  broadcast(targets: readonly TargetIncarnation[]): void {
    this.options.replicas().forEach(replica => this.send(replica, targets));
  }

  /** Tells one replica. */
  send(replica: string, targets: readonly TargetIncarnation[]): void {
    const {agent, events} = this.options;
    if (targets.length === 0) {
      return;
    }
    exchangeJson({
      url: new URL(TARGET_LEAVES_PATH, replica),
      body: {targets},
      agent,
      signal: AbortSignal.timeout(TIMEOUT_MS),
      maxAnswerBytes: MAX_RESPONSE_BYTES,
    }).catch(thrown => {
      const {message} = toFault(thrown);
      events.record('target-leaves-unsent', {replica, reason: message});
    });
  }
}

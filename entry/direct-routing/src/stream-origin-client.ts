import type http from 'node:http';
import {
  STREAM_ORIGIN_ANSWER_SCHEMA,
  STREAM_ORIGIN_LOOKUP_PATH,
  type StreamOrigin,
  type StreamOriginLookup,
  type VersionEvidence,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';
import {StreamOriginUplink} from './stream-origin-uplink.js';

/** Options of a stream origin client. */
export interface StreamOriginClientOptions {
  readonly agent: http.Agent;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  /** Returns the origins that a replica receives again after its connection was lost. */
  readonly recent: () => readonly StreamOrigin[];
  readonly events: EventLog;
}

/** What the replicas of control know of a stream. */
export interface LookupResult {
  /** The origin; undefined if no replica that answered knows it. */
  readonly origin: StreamOrigin | undefined;
  /** What the replicas that answered know of the versions of the service, by their base URL. */
  readonly evidence: ReadonlyMap<string, VersionEvidence>;
}

/** Time for the replicas to answer a lookup, in milliseconds. */
const LOOKUP_TIMEOUT_MS = 500;
/** Time for the other replicas to answer once a quorum has confirmed one answer, in milliseconds. */
const LAST_ANSWERS_MS = 100;
const MAX_RESPONSE_BYTES = 1_048_576;

/** Sends the origins of streams to all replicas of control, and looks them up there. */
export class StreamOriginClient {
  private readonly uplinks = new Map<string, StreamOriginUplink>();

  constructor(private readonly options: StreamOriginClientOptions) {}

  /** Sends origins to all replicas. */
  broadcast(origins: readonly StreamOrigin[]): void {
    const replicas = this.options.replicas();
    replicas.forEach(replica => this.send(replica, origins));
    for (const [replica, uplink] of this.uplinks) {
      if (!replicas.includes(replica)) {
        this.uplinks.delete(replica);
        uplink.close();
      }
    }
  }

  /** Sends origins to a replica over a new connection, as the last one may lead nowhere. */
  sendAnew(replica: string, origins: readonly StreamOrigin[]): void {
    this.uplinks.get(replica)?.close();
    this.send(replica, origins);
  }

  stop(): void {
    this.uplinks.forEach(uplink => uplink.close());
  }

  /**
   * Looks up a stream that a call takes up; resolves with the first replica that knows it, or
   * with what all replicas that answer in time know of the versions of its service.
   */
  lookUp(lookup: StreamOriginLookup): Promise<LookupResult> {
    const evidence = new Map<string, VersionEvidence>();
    return new Promise(resolve => {
      const end = () => resolve({origin: undefined, evidence});
      const requests = this.options.replicas().map(async replica => {
        const answer = await this.ask(replica, lookup);
        if (answer?.origin !== undefined) {
          resolve({origin: answer.origin, evidence});
        }
        if (answer?.evidence !== undefined) {
          evidence.set(replica, answer.evidence);
          if (answer.evidence.confirmed !== undefined) {
            setTimeout(end, LAST_ANSWERS_MS);
          }
        }
      });
      Promise.all(requests).then(end, end);
    });
  }

  private send(replica: string, origins: readonly StreamOrigin[]): void {
    if (origins.length === 0) {
      return;
    }
    const {agent, recent} = this.options;
    const uplink =
      this.uplinks.get(replica) ??
      new StreamOriginUplink({
        replica,
        agent,
        recent,
        onLost: reason => this.recordFailure(replica, reason),
      });
    this.uplinks.set(replica, uplink);
    uplink.send(origins);
  }

  /** Asks one replica; undefined if it does not answer. */
  private async ask(replica: string, lookup: StreamOriginLookup) {
    try {
      const answer = await exchangeJson({
        url: new URL(STREAM_ORIGIN_LOOKUP_PATH, replica),
        body: lookup,
        agent: this.options.agent,
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
        maxAnswerBytes: MAX_RESPONSE_BYTES,
      });
      return STREAM_ORIGIN_ANSWER_SCHEMA.parse(answer);
    } catch (thrown) {
      this.recordFailure(replica, toFault(thrown).message);
      return undefined;
    }
  }

  private recordFailure(replica: string, reason: string): void {
    this.options.events.record('stream-origins-failed', {replica, reason});
  }
}

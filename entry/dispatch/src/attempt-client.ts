import http, {type IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {Refusal} from '@marigoldspur/faults';
import {openRequest} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {readAgentRefusal} from './agent-refusal.js';
import {attemptHeaders} from './attempt-headers.js';
import type {Attempt, AttemptAnswer} from './attempt.js';

const RETRY_SOON_SECONDS = 1;

/** Sends attempts to agents. */
export class AttemptClient {
  /** `agent` makes the connections. */
  constructor(private readonly agent: http.Agent) {}

  /**
   * Sends an attempt; resolves with the head of the answer or with what is known of
   * the failure. A request that may not be repeated waits for the agent's `100
   * Continue` before its body goes out, so that it provably did not run until then.
   */
  send(attempt: Attempt): Promise<Result<AttemptAnswer, Refusal>> {
    return new Promise(resolve => {
      const late = new AbortController();
      const timer = setTimeout(
        () => late.abort(),
        Math.min(attempt.firstByteTimeoutMs, attempt.hop.budgetMs),
      );
      const call = openRequest({
        url: new URL(attempt.url, attempt.destination.url),
        method: attempt.method,
        headers: attemptHeaders(attempt),
        agent: this.agent,
        signal: AbortSignal.any([attempt.signal, late.signal]),
      });
      let connected = false;
      call.on('socket', socket => {
        connected = !socket.connecting;
        socket.once('connect', () => (connected = true));
      });
      let bodySent = false;
      const sendBody = () => {
        if (!call.destroyed) {
          bodySent = true;
          call.end(attempt.body);
        }
      };
      call.on('error', error => {
        clearTimeout(timer);
        const reached = bodySent && connected;
        resolve(Result.err(brokenLink(reached, late.signal.aborted, error)));
      });
      call.on('response', message => {
        clearTimeout(timer);
        void readHead(attempt, message).then(answer => {
          if (answer.isErr && !bodySent) {
            call.destroy();
          }
          resolve(answer);
        });
      });
      if (attempt.hop.repeatable) {
        sendBody();
      } else {
        call.on('continue', sendBody);
        call.flushHeaders();
      }
    });
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }
}

async function readHead(
  attempt: Attempt,
  message: IncomingMessage,
): Promise<Result<AttemptAnswer, Refusal>> {
  const {hop, method} = attempt;
  const refusal = await readAgentRefusal(message);
  if (refusal !== undefined) {
    return Result.err(refusal);
  }
  const crossed =
    message.headers[HOP_HEADERS.request] !== hop.request ||
    message.headers[HOP_HEADERS.attempt] !== String(hop.attempt);
  if (crossed) {
    message.destroy();
    return Result.err(
      new Refusal(
        'unknown',
        502,
        'crossed_answer',
        'the answer belongs to another request',
        RETRY_SOON_SECONDS,
      ),
    );
  }
  return Result.ok({hop, method, message});
}

function brokenLink(reached: boolean, late: boolean, error: Error): Refusal {
  const outcome = reached ? 'unknown' : 'not-run';
  if (late) {
    return new Refusal(
      outcome,
      504,
      'no_answer_in_time',
      'the target did not answer in time',
      RETRY_SOON_SECONDS,
    );
  }
  return new Refusal(
    outcome,
    reached ? 502 : 503,
    reached ? 'link_broke_off' : 'agent_unreachable',
    error.message,
    RETRY_SOON_SECONDS,
  );
}

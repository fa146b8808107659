import http from 'node:http';
import https from 'node:https';
import {createTRPCClient, httpLink} from '@trpc/client';
import {Result} from 'true-myth';
import {ControlClient} from '@marigoldspur/control-client';
import type {Fault} from '@marigoldspur/faults';
import {createFetch} from '@marigoldspur/http-link';
import type {Member} from '@marigoldspur/messages';
import type {ProcessRouter} from '@marigoldspur/process-api';

/** A tRPC client of one process. */
export type ProcessClient = ReturnType<typeof createProcessClient>;

/** Options of an operator's session. */
export interface SessionOptions {
  /** Timeout of a command, in milliseconds. */
  readonly timeoutMs: number;
  /** Certificate authority of the system, in PEM; without it the session uses plain HTTP. */
  readonly ca?: string;
  /** Token of the operator. */
  readonly token?: string;
}

/** An operator's connections to the system. */
export interface OperatorSession {
  readonly control: ControlClient;
  /** Base URLs of the replicas of control. */
  readonly controlUrls: readonly string[];
  /**
   * Reads the processes that control knows; retries until `deadlineMs`, a
   * `performance.now()` time.
   */
  listMembers(deadlineMs?: number): Promise<Result<readonly Member[], Fault>>;
  /** Creates a client of the process at a base URL. */
  createProcessClient(url: string): ProcessClient;
  /** Returns the deadline of a call that starts now, as a `performance.now()` time. */
  getDeadline(): number;
  /** Closes the connections to control. */
  close(): void;
}

/** Opens an operator's session with the replicas of control at `urls`, their base URLs. */
export function openSession(
  urls: readonly string[],
  options: SessionOptions,
): OperatorSession {
  const {ca, token, timeoutMs} = options;
  const agent =
    ca === undefined
      ? new http.Agent({keepAlive: true})
      : new https.Agent({keepAlive: true, ca});
  const control = new ControlClient({urls, agent, token});
  const getDeadline = () => performance.now() + timeoutMs;
  return {
    control,
    controlUrls: urls,
    getDeadline,
    createProcessClient: url => createProcessClient(url, agent, token),
    listMembers: async (deadlineMs = getDeadline()) => {
      const delta = await control.call(
        (replica, signal) =>
          replica.watchMembers.query(
            {table: '', version: 0, waitMs: 0},
            {signal},
          ),
        deadlineMs,
      );
      return delta.map(value => value.changed);
    },
    close: () => control.close(),
  };
}

function createProcessClient(url: string, agent: http.Agent, token?: string) {
  return createTRPCClient<ProcessRouter>({
    links: [
      httpLink({
        url: `${url}/trpc/process`,
        fetch: createFetch(agent),
        headers: token === undefined ? {} : {authorization: `Bearer ${token}`},
      }),
    ],
  });
}

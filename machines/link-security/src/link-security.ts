import type http from 'node:http';
import type {Caller} from '@marigoldspur/access';

/** How processes of the system connect to and authenticate one another. */
export interface LinkSecurity {
  /** Scheme of the URLs of processes. */
  readonly scheme: 'http' | 'https';
  /** Creates a server for other processes and operators. */
  createServer(
    options: http.ServerOptions,
    handler: http.RequestListener,
  ): http.Server;
  /** Creates an agent for connections to other processes. */
  createAgent(): http.Agent;
  /** Returns the authenticated sender of a request. */
  callerOf(request: http.IncomingMessage): Caller;
  /** Stops watching the key files. */
  stop(): void;
}

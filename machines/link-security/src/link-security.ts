import type http from 'node:http';
import type {Caller} from '@marigoldspur/access';

/** How the processes of the system reach and recognize one another. */
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
  /** Who sent a request. */
  callerOf(request: http.IncomingMessage): Caller;
  stop(): void;
}

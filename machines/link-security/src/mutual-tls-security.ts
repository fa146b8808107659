import type http from 'node:http';
import https from 'node:https';
import type {TLSSocket} from 'node:tls';
import type {Caller} from '@marigoldspur/access';
import type {LinkSecurity} from './link-security.js';
import type {OperatorTokenTable} from './operator-token-table.js';

/** The keys of a process, in PEM. */
export interface TlsKeys {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Mutual TLS: a certificate of the system's own authority makes a caller a process, a token makes it an operator. */
export class MutualTlsSecurity implements LinkSecurity {
  readonly scheme = 'https';
  private readonly servers = new Set<https.Server>();
  private readonly agents = new Set<https.Agent>();

  constructor(
    private keys: TlsKeys,
    private readonly operators: OperatorTokenTable,
    private readonly onStop: () => void,
  ) {}

  createServer(
    options: http.ServerOptions,
    handler: http.RequestListener,
  ): http.Server {
    // Operators have tokens, not certificates, so a connection without one is let in.
    const server = https.createServer(
      {
        ...options,
        ...this.keys,
        requestCert: true,
        rejectUnauthorized: false,
        minVersion: 'TLSv1.3',
      },
      handler,
    );
    this.servers.add(server);
    return server;
  }

  createAgent(): http.Agent {
    const agent = new https.Agent({keepAlive: true, ...this.keys});
    this.agents.add(agent);
    return agent;
  }

  callerOf(request: http.IncomingMessage): Caller {
    return (request.socket as TLSSocket).authorized
      ? {kind: 'process'}
      : this.operators.callerOf(request);
  }

  /** Uses other keys for the connections made from now on. */
  replaceKeys(keys: TlsKeys): void {
    this.keys = keys;
    this.servers.forEach(server => server.setSecureContext(keys));
    this.agents.forEach(agent => Object.assign(agent.options, keys));
  }

  stop(): void {
    this.onStop();
  }
}

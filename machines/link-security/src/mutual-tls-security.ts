import type http from 'node:http';
import https from 'node:https';
import type {TLSSocket} from 'node:tls';
import type {Caller} from '@marigoldspur/access';
import type {PemTexts} from '@marigoldspur/key-files';
import type {LinkSecurity} from './link-security.js';
import type {OperatorTokenTable} from './operator-token-table.js';

const MIN_TLS_VERSION = 'TLSv1.3';

/** Mutual TLS: a certificate of the system's authority identifies a process, a token identifies an operator. */
export class MutualTlsSecurity implements LinkSecurity {
  readonly scheme = 'https';
  private readonly servers = new Set<https.Server>();
  private readonly agents = new Set<https.Agent>();

  constructor(
    private keys: PemTexts,
    private readonly operators: OperatorTokenTable,
    private readonly onStop: () => void,
  ) {}

  createServer(
    options: http.ServerOptions,
    handler: http.RequestListener,
  ): http.Server {
    // Operators have tokens instead of certificates, so connections without one are accepted.
    const server = https.createServer(
      {
        ...options,
        ...this.keys,
        requestCert: true,
        rejectUnauthorized: false,
        minVersion: MIN_TLS_VERSION,
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

  /** Replaces the keys for new connections. */
  replaceKeys(keys: PemTexts): void {
    this.keys = keys;
    // A new context uses the defaults of Node.js for all options that are not set again.
    const context = {...keys, minVersion: MIN_TLS_VERSION} as const;
    this.servers.forEach(server => server.setSecureContext(context));
    this.agents.forEach(agent => Object.assign(agent.options, keys));
  }

  stop(): void {
    this.onStop();
  }
}

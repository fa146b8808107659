import type http from 'node:http';
import https from 'node:https';
import type {TLSSocket} from 'node:tls';
import type {Caller} from '@marigoldspur/access';
import type {PemTexts} from '@marigoldspur/key-files';
import type {LinkSecurity} from './link-security.js';
import type {OperatorTokenTable} from './operator-token-table.js';

const MIN_VERSION = 'TLSv1.3';

/** Mutual TLS: a certificate of the system's own authority makes a caller a process, a token makes it an operator. */
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
    // Operators have tokens, not certificates, so a connection without one is let in.
    const server = https.createServer(
      {
        ...options,
        ...this.keys,
        requestCert: true,
        rejectUnauthorized: false,
        minVersion: MIN_VERSION,
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
  replaceKeys(keys: PemTexts): void {
    this.keys = keys;
    // A new context has the defaults of Node.js in all that is not named again.
    const context = {...keys, minVersion: MIN_VERSION} as const;
    this.servers.forEach(server => server.setSecureContext(context));
    this.agents.forEach(agent => Object.assign(agent.options, keys));
  }

  stop(): void {
    this.onStop();
  }
}

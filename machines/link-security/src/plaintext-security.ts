import http from 'node:http';
import type {Caller} from '@marigoldspur/access';
import {SlicedHttpAgent} from '@marigoldspur/http-link';
import type {LinkSecurity} from './link-security.js';

/** Plain HTTP without keys: every caller, on loopback or a trusted network, counts as a process of the system. */
export class PlaintextSecurity implements LinkSecurity {
  readonly scheme = 'http';

  createServer(
    options: http.ServerOptions,
    handler: http.RequestListener,
  ): http.Server {
    return http.createServer(options, handler);
  }

  createAgent(): http.Agent {
    return new SlicedHttpAgent({keepAlive: true});
  }

  callerOf(): Caller {
    return {kind: 'process'};
  }

  stop(): void {}
}

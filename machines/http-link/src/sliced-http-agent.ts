import http from 'node:http';
import type {NetConnectOpts} from 'node:net';
import type {Duplex} from 'node:stream';
import {SlicedSocket} from './sliced-socket.js';

/** HTTP agent whose connections pass on what they read in slices. */
export class SlicedHttpAgent extends http.Agent {
  override createConnection(options: NetConnectOpts): Duplex {
    return new SlicedSocket(options).connect(options);
  }
}

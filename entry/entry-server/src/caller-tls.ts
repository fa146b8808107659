import http from 'node:http';
import https from 'node:https';
import type {EventLog} from '@marigoldspur/event-log';
import {InvalidInput} from '@marigoldspur/faults';
import {PemFiles} from '@marigoldspur/key-files';
import type {EntrySettings} from './entry-settings.js';

/** Creates servers for callers. */
export interface CallerTls {
  /** Creates an HTTPS server, or an HTTP server if there is no certificate. */
  createServer(
    options: http.ServerOptions,
    handler: http.RequestListener,
  ): http.Server;
  /** Stops watching the certificate and key files. */
  stop(): void;
}

/**
 * Loads the server certificate for callers; without one the servers use plain
 * HTTP. Throws `InvalidInput` if only one of certificate and key is set.
 */
export async function openCallerTls(
  settings: EntrySettings,
  events: EventLog,
): Promise<CallerTls> {
  const {callerTlsCert, callerTlsKey} = settings;
  if ((callerTlsCert === undefined) !== (callerTlsKey === undefined)) {
    const place = '--caller-tls-cert, --caller-tls-key';
    throw new InvalidInput([{place, reason: 'must be set together'}]);
  }
  if (callerTlsCert === undefined || callerTlsKey === undefined) {
    return {createServer: http.createServer, stop: () => {}};
  }
  const servers = new Set<https.Server>();
  const files = {cert: callerTlsCert, key: callerTlsKey};
  const pem = await PemFiles.open({
    files,
    events,
    onReload: texts =>
      servers.forEach(server => server.setSecureContext(texts)),
  });
  return {
    createServer: (options, handler) => {
      const server = https.createServer({...options, ...pem.current}, handler);
      servers.add(server);
      return server;
    },
    stop: () => pem.stop(),
  };
}

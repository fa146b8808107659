import http from 'node:http';
import https from 'node:https';
import type {EventLog} from '@marigoldspur/event-log';
import {InvalidInput} from '@marigoldspur/faults';
import {KeyFile} from '@marigoldspur/key-files';
import type {EntrySettings} from './entry-settings.js';

/** Creates the server for callers, with TLS where the settings name a certificate. Throws `InvalidInput`. */
export async function createCallerServer(
  settings: EntrySettings,
  options: http.ServerOptions,
  events: EventLog,
): Promise<http.Server> {
  const {callerTlsCert, callerTlsKey} = settings;
  if ((callerTlsCert === undefined) !== (callerTlsKey === undefined)) {
    throw new InvalidInput([
      {
        place: '--caller-tls-cert, --caller-tls-key',
        reason: 'are needed together',
      },
    ]);
  }
  if (callerTlsCert === undefined || callerTlsKey === undefined) {
    return http.createServer(options);
  }
  const parse = (text: string) => text;
  const onReload = () =>
    server.setSecureContext({cert: cert.current, key: key.current});
  const cert = await KeyFile.open({
    file: callerTlsCert,
    parse,
    events,
    onReload,
  });
  const key = await KeyFile.open({file: callerTlsKey, parse, events, onReload});
  const server = https.createServer({
    ...options,
    cert: cert.current,
    key: key.current,
  });
  return server;
}

import type http from 'node:http';
import {CRASH_RECORDS_PATH, type CrashRecords} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {toFault} from '@marigoldspur/faults';
import {exchangeJson} from '@marigoldspur/http-link';

/** Options of a crash record client. */
export interface CrashRecordClientOptions {
  readonly agent: http.Agent;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  readonly events: EventLog;
}

const TIMEOUT_MS = 1_000;
const MAX_RESPONSE_BYTES = 4_096;

/** Sends crash records to replicas of control, each of which passes them on to all entries. */
export class CrashRecordClient {
  constructor(private readonly options: CrashRecordClientOptions) {}

  /** Sends records to all replicas, so that one that can be reached is enough. */
  broadcast(records: CrashRecords): void {
    this.options.replicas().forEach(replica => this.send(replica, records));
  }

  /** Sends records to one replica. */
  send(replica: string, records: CrashRecords): void {
    const {agent, events} = this.options;
    if (Object.values(records).every(({length}) => length === 0)) {
      return;
    }
    exchangeJson({
      url: new URL(CRASH_RECORDS_PATH, replica),
      body: records,
      agent,
      signal: AbortSignal.timeout(TIMEOUT_MS),
      maxAnswerBytes: MAX_RESPONSE_BYTES,
    }).catch(thrown => {
      const {message} = toFault(thrown);
      events.record('crash-records-unsent', {replica, reason: message});
    });
  }
}

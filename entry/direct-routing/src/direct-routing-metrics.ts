import {Counter, Gauge, Histogram, type Registry} from 'prom-client';
import type {RelayResult} from '@marigoldspur/dispatch';

const MS_PER_SECOND = 1_000;
const LATENCY_BUCKETS_SECONDS = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

const RATIO_BUCKETS = [0.25, 0.5, 0.8, 1.25, 2, 4, 8];

type RelaySummary = Pick<
  RelayResult,
  'callerFraming' | 'end' | 'outcome' | 'receivedPieces' | 'targetFraming'
>;

/** Metrics of calls that are sent directly to targets. */
export class DirectRoutingMetrics {
  private readonly calls: Counter<'service' | 'outcome'>;
  private readonly relays: Counter<
    'target_framing' | 'caller_framing' | 'end' | 'outcome'
  >;
  private readonly relayedPieces: Counter<'service'>;
  private readonly refusals: Counter<'reason'>;
  private readonly attempts: Counter<'service' | 'outcome'>;
  private readonly firstByte: Histogram<'service'>;
  private readonly expectedFirstEvent: Counter<'service'>;
  private readonly observedFirstEvent: Counter<'service'>;
  private readonly firstEventRatio: Histogram<'service'>;
  private readonly adapterWait: Histogram<'ready'>;
  private readonly crashReports: Counter<'stage'>;
  private readonly blockedParts: Gauge;
  private readonly blockedRequests: Gauge;
  private readonly pauses: Counter<'service'>;
  private readonly permits: Counter<'granted'>;
  private readonly limitedTargets: Gauge;
  private readonly running: Gauge;
  private readonly droppedConnections: Counter;
  private readonly fleetBytes: Counter<'replica'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.calls = new Counter({
      name: 'marigoldspur_calls_total',
      help: 'Calls that got a response from a target, by how the response ended',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.relays = new Counter({
      name: 'marigoldspur_relayed_responses_total',
      help: 'Responses of targets, by how the end of their body was told by the target and to the caller, and how they ended',
      labelNames: ['target_framing', 'caller_framing', 'end', 'outcome'],
      registers,
    });
    this.relayedPieces = new Counter({
      name: 'marigoldspur_relayed_response_pieces_total',
      help: 'Pieces in which the bodies of these responses were received, each of which takes processor time and memory however small it is',
      labelNames: ['service'],
      registers,
    });
    this.refusals = new Counter({
      name: 'marigoldspur_call_refusals_total',
      help: 'Calls that the entry refused, by refusal reason',
      labelNames: ['reason'],
      registers,
    });
    this.attempts = new Counter({
      name: 'marigoldspur_call_attempts_total',
      help: 'Attempts to send calls to targets, by result',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.firstByte = new Histogram({
      name: 'marigoldspur_call_first_byte_seconds',
      help: 'Time to the first byte of the response body',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    this.expectedFirstEvent = new Counter({
      name: 'marigoldspur_expected_first_event_seconds_total',
      help: 'Sum of the expected times from sending calls to engines to their first event',
      labelNames: ['service'],
      registers,
    });
    this.observedFirstEvent = new Counter({
      name: 'marigoldspur_observed_first_event_seconds_total',
      help: 'Sum of the observed times from sending these calls to their first event',
      labelNames: ['service'],
      registers,
    });
    this.firstEventRatio = new Histogram({
      name: 'marigoldspur_first_event_time_ratio',
      help: 'Observed time to the first event of calls to engines divided by the expected time',
      labelNames: ['service'],
      buckets: RATIO_BUCKETS,
      registers,
    });
    this.adapterWait = new Histogram({
      name: 'marigoldspur_adapter_wait_seconds',
      help: 'Time that calls waited for an adapter, by whether it became ready',
      labelNames: ['ready'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    this.crashReports = new Counter({
      name: 'marigoldspur_crash_reports_total',
      help: 'Calls without an event whose engine crashed, by whether the head of the response had arrived',
      labelNames: ['stage'],
      registers,
    });
    this.blockedParts = new Gauge({
      name: 'marigoldspur_blocked_prompt_parts',
      help: 'Parts of prompts with which calls are refused because they crash engines',
      registers,
    });
    this.blockedRequests = new Gauge({
      name: 'marigoldspur_blocked_requests',
      help: 'Requests that are refused because they crash engines',
      registers,
    });
    this.pauses = new Counter({
      name: 'marigoldspur_target_pauses_total',
      help: 'Answers in which targets asked this entry for a pause, by service',
      labelNames: ['service'],
      registers,
    });
    this.permits = new Counter({
      name: 'marigoldspur_request_permits_total',
      help: 'Permits that calls asked for because their target has a request limit, by whether they were granted',
      labelNames: ['granted'],
      registers,
    });
    this.limitedTargets = new Gauge({
      name: 'marigoldspur_limited_targets',
      help: 'Targets that state a request limit',
      registers,
    });
    this.running = new Gauge({
      name: 'marigoldspur_calls_running',
      help: 'Calls that are running or waiting',
      registers,
    });
    this.droppedConnections = new Counter({
      name: 'marigoldspur_dropped_connections_total',
      help: 'Connections of callers that were closed at once because there were too many',
      registers,
    });
    this.fleetBytes = new Counter({
      name: 'marigoldspur_fleet_received_bytes_total',
      help: 'Bytes of the fleet streams, by replica of control',
      labelNames: ['replica'],
      registers,
    });
  }

  /** Records that a response ended. */
  recordResponse(service: string, outcome: string): void {
    this.calls.inc({service, outcome});
  }

  /** Records how the body of a response was delimited on both sides, in how many pieces it came, and how it ended. */
  recordRelay(service: string, relayed: RelaySummary): void {
    const {callerFraming, end, outcome, receivedPieces, targetFraming} =
      relayed;
    this.relayedPieces.inc({service}, receivedPieces);
    this.relays.inc({
      target_framing: targetFraming,
      caller_framing: callerFraming ?? 'unsent',
      end,
      outcome,
    });
  }

  recordRefusal(reason: string): void {
    this.refusals.inc({reason});
  }

  recordAttempt(service: string, outcome: string): void {
    this.attempts.inc({service, outcome});
  }

  /**
   * Records the first byte of a response body, `ms` milliseconds after the
   * start of the call.
   */
  recordFirstByte(service: string, ms: number): void {
    this.firstByte.observe({service}, ms / MS_PER_SECOND);
  }

  /** Records the expected and the observed time from sending a call to its first event. */
  recordFirstEvent(
    service: string,
    expectedMs: number,
    observedMs: number,
  ): void {
    this.expectedFirstEvent.inc({service}, expectedMs / MS_PER_SECOND);
    this.observedFirstEvent.inc({service}, observedMs / MS_PER_SECOND);
    this.firstEventRatio.observe({service}, observedMs / expectedMs);
  }

  recordAdapterWait(ready: boolean, ms: number): void {
    this.adapterWait.observe({ready: String(ready)}, ms / MS_PER_SECOND);
  }

  recordCrashReport(hasHead: boolean): void {
    this.crashReports.inc({stage: hasHead ? 'head' : 'sent'});
  }

  setBlockedParts(count: number): void {
    this.blockedParts.set(count);
  }

  setBlockedRequests(count: number): void {
    this.blockedRequests.set(count);
  }

  recordPause(service: string): void {
    this.pauses.inc({service});
  }

  recordPermit(isGranted: boolean): void {
    this.permits.inc({granted: String(isGranted)});
  }

  setLimitedTargets(count: number): void {
    this.limitedTargets.set(count);
  }

  setRunning(count: number): void {
    this.running.set(count);
  }

  recordDroppedConnection(): void {
    this.droppedConnections.inc();
  }

  recordFleetBytes(replica: string, bytes: number): void {
    this.fleetBytes.inc({replica}, bytes);
  }
}

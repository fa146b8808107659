import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import {Result} from 'true-myth';
import type {Finding} from '@marigoldspur/faults';
import {
  formatModel,
  parseModel,
  type AdapterVersion,
} from '@marigoldspur/settings-schema';
import {PREFIX_KEY_PATTERN} from './prefix-changes.js';

/** Names of the headers of requests and responses between entry and agent. */
export const HOP_HEADERS = {
  request: 'x-marigoldspur-request',
  attempt: 'x-marigoldspur-attempt',
  model: 'x-marigoldspur-model',
  target: 'x-marigoldspur-target',
  /** Settings revision of the sender on attempts, of the agent on responses. */
  revision: 'x-marigoldspur-revision',
  /** Base URL of the sender, from which newer settings can be pulled. */
  origin: 'x-marigoldspur-origin',
  budget: 'x-marigoldspur-budget-ms',
  firstByte: 'x-marigoldspur-first-byte-ms',
  priority: 'x-marigoldspur-priority',
  repeatable: 'x-marigoldspur-repeatable',
  /** ID of the sender's clock, and its time in milliseconds when the attempt was written. */
  written: 'x-marigoldspur-written',
  /** On responses: `not-run`, `unknown` or `failed` if the agent refused the attempt. */
  outcome: 'x-marigoldspur-outcome',
  /** On responses: machine-readable reason of a refusal. */
  reason: 'x-marigoldspur-reason',
  /** Trailer of responses: number of body bytes. A response with a body but without it is incomplete. */
  end: 'x-marigoldspur-end',
  /** On responses: time for which an interrupted stream can be resumed at its target, in milliseconds. */
  resumable: 'x-marigoldspur-resumable-ms',
  /** On an attempt that resumes a stream, and on its response: number of the last event that was received, -1 for none. */
  resumeAfter: 'x-marigoldspur-resume-after',
  /** `true` on a message that only cancels the attempt that it names. */
  cancel: 'x-marigoldspur-cancel',
  /** On attempts: key of the whole prompt, if the entry uses hints of cached prefixes. */
  prefix: 'x-marigoldspur-prefix',
  /** On responses to attempts with `prefix`: the latest changes of the target's prefix cache. */
  prefixChanges: 'x-marigoldspur-prefix-changes',
} as const;

/** The adapter and version of a request, or undefined for plain services. */
export type HopModel = AdapterVersion | undefined;

/** A time on the monotonic clock of one process. Times of different clocks cannot be compared. */
export interface ClockTime {
  /** ID of the clock. */
  readonly clock: string;
  /** Time, in milliseconds. */
  readonly atMs: number;
}

/** Metadata that the entry sends to the agent with an attempt. */
export interface Hop {
  /** ID of the request. */
  readonly request: string;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly model: HopModel;
  /** Name of the target that the attempt is meant for. */
  readonly target: string;
  /** Active settings revision of the sender. */
  readonly revision: number;
  /** Base URL of the sender, from which newer settings can be pulled. */
  readonly origin?: string;
  /** Time within which the response must end, in milliseconds from receipt. */
  readonly budgetMs: number;
  /** Time within which the response must begin, in milliseconds; the whole budget if absent. */
  readonly firstByteMs?: number;
  /** Priority; 0 is served first. */
  readonly priority: number;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Key of the whole prompt, if the sender uses hints of cached prefixes. */
  readonly prefix?: string;
  /** Time at which the attempt was written. */
  readonly written?: ClockTime;
}

/** Formats a hop as headers. */
export function formatHop(hop: Hop): OutgoingHttpHeaders {
  return {
    [HOP_HEADERS.request]: hop.request,
    [HOP_HEADERS.attempt]: String(hop.attempt),
    ...(hop.model && {[HOP_HEADERS.model]: formatModel(hop.model)}),
    [HOP_HEADERS.target]: hop.target,
    [HOP_HEADERS.revision]: String(hop.revision),
    ...(hop.origin !== undefined && {[HOP_HEADERS.origin]: hop.origin}),
    [HOP_HEADERS.budget]: formatMilliseconds(hop.budgetMs),
    ...(hop.firstByteMs !== undefined && {
      [HOP_HEADERS.firstByte]: formatMilliseconds(hop.firstByteMs),
    }),
    [HOP_HEADERS.priority]: String(hop.priority),
    [HOP_HEADERS.repeatable]: String(hop.repeatable),
    ...(hop.prefix !== undefined && {[HOP_HEADERS.prefix]: hop.prefix}),
    ...(hop.written && {
      [HOP_HEADERS.written]: `${hop.written.clock} ${formatMilliseconds(hop.written.atMs)}`,
    }),
  };
}

/** Parses a hop from headers. Reports all findings together. */
export function parseHop(headers: IncomingHttpHeaders): Result<Hop, Finding[]> {
  const findings: Finding[] = [];
  const requireText = (name: string) => {
    const value = headers[name];
    if (typeof value !== 'string' || value === '') {
      findings.push({place: name, reason: 'is missing or repeated'});
      return '';
    }
    return value;
  };
  const requireInteger = (name: string) => {
    const value = requireText(name);
    if (value !== '' && !/^\d{1,15}$/.test(value)) {
      findings.push({place: name, reason: 'must be a whole number'});
    }
    return Number(value);
  };
  const hop: Hop = {
    request: requireText(HOP_HEADERS.request),
    attempt: requireInteger(HOP_HEADERS.attempt),
    model: parseModelHeader(headers, findings),
    target: requireText(HOP_HEADERS.target),
    revision: requireInteger(HOP_HEADERS.revision),
    ...parseOrigin(headers, findings),
    budgetMs: requireInteger(HOP_HEADERS.budget),
    ...(headers[HOP_HEADERS.firstByte] !== undefined && {
      firstByteMs: requireInteger(HOP_HEADERS.firstByte),
    }),
    priority: requireInteger(HOP_HEADERS.priority),
    repeatable: requireText(HOP_HEADERS.repeatable) === 'true',
    ...parsePrefix(headers, findings),
    ...parseWritten(headers, findings),
  };
  return findings.length === 0 ? Result.ok(hop) : Result.err(findings);
}

function formatMilliseconds(timeMs: number): string {
  return String(Math.max(0, Math.round(timeMs)));
}

const ORIGIN_PATTERN = /^https?:\/\/[^/?#\s]+$/;

function parseOrigin(
  headers: IncomingHttpHeaders,
  findings: Finding[],
): Pick<Hop, 'origin'> {
  const value = headers[HOP_HEADERS.origin];
  if (value === undefined) {
    return {};
  }
  const origin = String(value);
  if (!ORIGIN_PATTERN.test(origin)) {
    findings.push({
      place: HOP_HEADERS.origin,
      reason: 'must be an HTTP origin',
    });
  }
  return {origin};
}

function parsePrefix(
  headers: IncomingHttpHeaders,
  findings: Finding[],
): Pick<Hop, 'prefix'> {
  const value = headers[HOP_HEADERS.prefix];
  if (value === undefined) {
    return {};
  }
  const prefix = String(value);
  if (!PREFIX_KEY_PATTERN.test(prefix)) {
    findings.push({place: HOP_HEADERS.prefix, reason: 'must be a prefix key'});
  }
  return {prefix};
}

const WRITTEN_PATTERN = /^([\w-]{1,64}) (\d{1,15})$/;

function parseWritten(
  headers: IncomingHttpHeaders,
  findings: Finding[],
): Pick<Hop, 'written'> {
  const value = headers[HOP_HEADERS.written];
  if (value === undefined) {
    return {};
  }
  const [, clock, time] = WRITTEN_PATTERN.exec(String(value)) ?? [];
  if (clock === undefined) {
    findings.push({
      place: HOP_HEADERS.written,
      reason: 'must be a clock ID and a time in milliseconds',
    });
    return {};
  }
  return {written: {clock, atMs: Number(time)}};
}

function parseModelHeader(
  headers: IncomingHttpHeaders,
  findings: Finding[],
): HopModel {
  const value = headers[HOP_HEADERS.model];
  if (value === undefined) {
    return undefined;
  }
  const parsed = parseModel(String(value));
  if (parsed.isErr) {
    findings.push({place: HOP_HEADERS.model, reason: parsed.error.reason});
    return undefined;
  }
  return parsed.value;
}

import {readClock} from '@marigoldspur/clock-readings';
import type http from 'node:http';
import type {Registry} from 'prom-client';
import {
  DEPLOYMENT_CONFIRMATION_PATH,
  DEPLOYMENT_CONFIRMATION_SCHEMA,
  type Deployment,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {exchangeJson} from '@marigoldspur/http-link';
import {KeyFreshness} from '@marigoldspur/tenant-access';
import {DeploymentConfirmer} from './deployment-confirmer.js';
import {TenantGate} from './tenant-gate.js';
import {TenantMetrics} from './tenant-metrics.js';

/** What a tenant gate is connected to. */
export interface TenantGateSettings {
  readonly deployment: () => Deployment | undefined;
  /** Time after which no removed key may be used, in milliseconds; absent if it is not bounded. */
  readonly revokeMs: number | undefined;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  readonly agent: http.Agent;
  readonly registry: Registry;
  readonly events: EventLog;
}

/** A tenant gate with its queries to control. */
export interface RunningTenantGate {
  readonly gate: TenantGate;
  /** Has a new deployment confirmed without a wait. */
  handleDeployment(): void;
  stop(): void;
}

const MAX_ANSWER_BYTES = 4_096;

/** Starts a tenant gate; it asks control only if the time of revocation is bounded. */
export function startTenantGate({
  agent,
  deployment,
  events,
  registry,
  replicas,
  revokeMs,
}: TenantGateSettings): RunningTenantGate {
  const appliedRevision = () => {
    const applied = deployment();
    return applied?.tenants && applied.revision;
  };
  const freshness =
    revokeMs === undefined ? undefined : new KeyFreshness(revokeMs);
  const confirmer =
    revokeMs === undefined || freshness === undefined
      ? undefined
      : new DeploymentConfirmer({
          revokeMs,
          appliedRevision,
          replicas,
          ask: async (replica, signal) => {
            const answer = await exchangeJson({
              url: new URL(DEPLOYMENT_CONFIRMATION_PATH, replica),
              body: {},
              agent,
              signal,
              maxAnswerBytes: MAX_ANSWER_BYTES,
            });
            return DEPLOYMENT_CONFIRMATION_SCHEMA.parse(answer);
          },
          freshness,
          clock: readClock,
          random: Math.random,
          events,
        });
  const confirmationAgeMs =
    freshness && (() => freshness.ageMs(appliedRevision() ?? 0, readClock()));
  const gate = new TenantGate({
    deployment,
    freshness,
    clock: readClock,
    onUnconfirmed: () => confirmer?.askEarly(),
    metrics: new TenantMetrics(registry, confirmationAgeMs),
  });
  return {
    gate,
    handleDeployment: () => confirmer?.askEarly(),
    stop: () => confirmer?.stop(),
  };
}

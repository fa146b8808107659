import {expect} from 'chai';
import fc from 'fast-check';
import type {Claim} from '@marigoldspur/messages';
import {ClaimState} from '@marigoldspur/request-claims';

const RUNS = {seed: 4, numRuns: 300};
const RETENTION_MS = 30_000;
/** Time for which a released claim is remembered. */
const RELEASE_RETENTION_MS = 600_000;

const STEP = fc.record({
  kind: fc.constantFrom('take', 'not-run', 'completed', 'lose', 'restart'),
  key: fc.constantFrom('k1', 'k2', 'k3'),
  request: fc.integer({min: 0, max: 5}),
  boot: fc.constantFrom('b1', 'b2'),
  pauseMs: fc.integer({min: -5_000, max: 20_000}),
});

/** Model state of a key: the request that was granted it and how that request ended. */
interface Grant {
  readonly request: string;
  readonly boot: string;
  state: 'running' | 'not-run' | 'completed' | 'unknown';
  endedAt: number;
}

it('claims model: a key is granted twice only if the first run provably did not happen or its retention has ended', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 80, size: 'max'}), steps => {
      let claims = new ClaimState();
      const grants = new Map<string, Grant>();
      const releasedAt = new Map<string, number>();
      let at = 0;
      let clock = 0;
      for (const step of steps) {
        at = Math.max(0, at + step.pauseMs);
        clock = Math.max(clock, at);
        const request = `${step.key}-${step.request}-${step.boot}`;
        const grant = grants.get(step.key);
        switch (step.kind) {
          case 'take': {
            const outcome = claims.take(claimOf(step, request), at);
            if (outcome.outcome === 'granted') {
              expect(mayRun(grant, request, clock)).to.equal(true);
              grants.set(step.key, {
                request,
                boot: step.boot,
                state: 'running',
                endedAt: clock,
              });
            } else if (outcome.outcome === 'not-run') {
              expect(releasedAt.has(request)).to.equal(true);
              expect(mayRun(grant, '', clock)).to.equal(true);
            } else {
              expect(outcome.outcome).to.equal(grant?.state);
            }
            if (
              clock <
              (releasedAt.get(request) ?? -Infinity) + RELEASE_RETENTION_MS
            ) {
              expect(outcome.outcome).not.to.equal('granted');
            }
            break;
          }
          case 'not-run':
          case 'completed':
            claims.complete(
              {
                customer: 'callao',
                key: step.key,
                request,
                result: step.kind,
              },
              at,
            );
            if (step.kind === 'not-run') {
              releasedAt.set(request, clock);
            }
            if (grant?.state === 'running' && grant.request === request) {
              grant.state = step.kind;
              grant.endedAt = clock;
            }
            break;
          case 'lose':
            claims.markEntryLost('entry-0', step.boot, at);
            for (const held of grants.values()) {
              if (held.state === 'running' && held.boot === step.boot) {
                held.state = 'unknown';
                held.endedAt = clock;
              }
            }
            break;
          case 'restart': {
            const snapshot = JSON.parse(JSON.stringify(claims.snapshot()));
            claims = new ClaimState();
            claims.restore(snapshot);
          }
        }
      }
    }),
    RUNS,
  );
});

function mayRun(grant: Grant | undefined, request: string, clock: number) {
  return (
    grant === undefined ||
    grant.state === 'not-run' ||
    (grant.state === 'running' && grant.request === request) ||
    (grant.state !== 'running' && clock >= grant.endedAt + RETENTION_MS)
  );
}

function claimOf(step: {key: string; boot: string}, request: string): Claim {
  return {
    customer: 'callao',
    key: step.key,
    digest: 'd',
    request,
    entry: 'entry-0',
    boot: step.boot,
    retentionMs: RETENTION_MS,
  };
}

import type {Disturbance, Scenario, Workload} from './workload.js';

/** A new version of an adapter. */
export interface NewVersion {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** The version that it follows. */
  readonly predecessor: string;
  /** When the settings name it, in milliseconds. */
  readonly announcedAt: number;
  /** When callers begin to name it, in milliseconds. */
  readonly usedFrom: number;
}

const SECOND_MS = 1_000;

/** The new versions of a scenario by the number of their adapter, most wanted first. */
export function planVersions(
  workload: Workload,
  scenario: Scenario,
): ReadonlyMap<number, NewVersion> {
  const plans = scenario.disturbances
    .filter(each => each.kind === 'new-versions')
    .flatMap(each => versionsOf(each, workload.warmUpSeconds));
  return new Map(plans);
}

function versionsOf(
  {
    at,
    adapters,
    seconds,
    switchAfterSeconds,
  }: Extract<Disturbance, {kind: 'new-versions'}>,
  warmUpSeconds: number,
): (readonly [number, NewVersion])[] {
  return Array.from({length: adapters}, (_, adapter) => {
    const announced = warmUpSeconds + at + (adapter * seconds) / adapters;
    const version: NewVersion = {
      model: formatModel(adapter, 2),
      predecessor: formatModel(adapter, 1),
      announcedAt: announced * SECOND_MS,
      usedFrom: (announced + switchAfterSeconds) * SECOND_MS,
    };
    return [adapter, version];
  });
}

/** The name of a version of an adapter. */
export function formatModel(adapter: number, version: number): string {
  return `adapter-${adapter}@v${version}`;
}

import type {Disturbance, Scenario, Workload} from './workload.js';

/** A new version of an adapter. */
export interface NewVersion {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** The preceding version, `adapter@version`. */
  readonly predecessor: string;
  /** Time at which the version appears in the settings, in milliseconds. */
  readonly announcedAt: number;
  /** Time from which callers request the version, in milliseconds. */
  readonly usedFrom: number;
}

const MS_PER_SECOND = 1_000;

/** Plans the new versions of a scenario, by adapter index; lower indexes are more popular. */
export function planVersions(
  workload: Workload,
  scenario: Scenario,
): ReadonlyMap<number, NewVersion> {
  const plans = scenario.disturbances
    .filter(each => each.kind === 'new-versions')
    .flatMap(each => createVersions(each, workload.warmUpSeconds));
  return new Map(plans);
}

function createVersions(
  {
    at,
    adapters,
    seconds,
    switchAfterSeconds,
  }: Extract<Disturbance, {kind: 'new-versions'}>,
  warmUpSeconds: number,
): (readonly [number, NewVersion])[] {
  return Array.from({length: adapters}, (_, adapter) => {
    const announcedAtSeconds =
      warmUpSeconds + at + (adapter * seconds) / adapters;
    const version: NewVersion = {
      model: formatModel(adapter, 2),
      predecessor: formatModel(adapter, 1),
      announcedAt: announcedAtSeconds * MS_PER_SECOND,
      usedFrom: (announcedAtSeconds + switchAfterSeconds) * MS_PER_SECOND,
    };
    return [adapter, version];
  });
}

/** Formats the model name of an adapter version, `adapter@version`. */
export function formatModel(adapter: number, version: number): string {
  return `adapter-${adapter}@v${version}`;
}

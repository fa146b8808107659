import {
  formatModel,
  parseModel,
  type Adapter,
  type SettingsTree,
} from '@marigoldspur/settings-schema';
import {
  locateAdapter,
  getOwn,
  findService,
  findVersion,
} from '@marigoldspur/settings-tree';

/**
 * A version that was added to the settings, with the resident version that it
 * succeeds.
 */
export interface Successor {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** The resident version, in the same form. */
  readonly predecessor: string;
  readonly digest: string;
  readonly store: string;
}

/** The service of a target and the target's resident adapters. */
export interface TargetAdapters {
  readonly customer: string;
  readonly service: string;
  /** Resident adapters, as `adapter@version`. */
  readonly resident: readonly string[];
}

/**
 * Returns the versions that a settings change adds to adapters that are
 * resident on a target.
 */
export function findSuccessors(
  before: SettingsTree,
  after: SettingsTree,
  {customer, service, resident}: TargetAdapters,
): Successor[] {
  const serviceBefore = findService(before, customer, service);
  const serviceAfter = findService(after, customer, service);
  if (serviceAfter?.kind !== 'model' || serviceBefore?.kind !== 'model') {
    return [];
  }
  const {store} = serviceAfter;
  return resident.flatMap(predecessor =>
    parseModel(predecessor)
      .map(({adapter}) =>
        addedVersions(
          getOwn(serviceBefore.adapters, adapter),
          getOwn(serviceAfter.adapters, adapter),
        ).map(([version, {digest}]) => ({
          model: formatModel({adapter, version}),
          predecessor,
          digest,
          store,
        })),
      )
      .unwrapOr([]),
  );
}

/** Whether a version is retired or missing in the settings. */
export function isRetired(
  tree: SettingsTree,
  customer: string,
  model: string,
): boolean {
  return parseModel(model)
    .map(name => {
      const location = locateAdapter(tree, customer, name);
      return findVersion(location?.adapter, name.version)?.retired ?? true;
    })
    .unwrapOr(true);
}

function addedVersions(
  before: Adapter | undefined,
  after: Adapter | undefined,
) {
  if (before === undefined || after === undefined || before === after) {
    return [];
  }
  return Object.entries(after.versions).filter(
    ([version, {retired}]) =>
      !retired && findVersion(before, version) === undefined,
  );
}

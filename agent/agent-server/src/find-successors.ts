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

/** A version that the settings name anew, with the one before it that is held. */
export interface Successor {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** The held version, in the same form. */
  readonly predecessor: string;
  readonly digest: string;
  readonly store: string;
}

/** The service whose adapters a target holds. */
export interface TargetAdapters {
  readonly customer: string;
  readonly service: string;
  /** Adapters that the target holds, as `adapter@version`. */
  readonly resident: readonly string[];
}

/** The versions that a change of the settings adds to adapters that a target holds. */
export function findSuccessors(
  before: SettingsTree,
  after: SettingsTree,
  {customer, service, resident}: TargetAdapters,
): Successor[] {
  const earlier = findService(before, customer, service);
  const now = findService(after, customer, service);
  if (now?.kind !== 'model' || earlier?.kind !== 'model') {
    return [];
  }
  const {store} = now;
  return resident.flatMap(predecessor =>
    parseModel(predecessor)
      .map(({adapter}) =>
        addedVersions(
          getOwn(earlier.adapters, adapter),
          getOwn(now.adapters, adapter),
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

/** Whether a version takes no requests any more, or the settings don't name it. */
export function isRetired(
  tree: SettingsTree,
  customer: string,
  model: string,
): boolean {
  return parseModel(model)
    .map(name => {
      const place = locateAdapter(tree, customer, name);
      return findVersion(place?.adapter, name.version)?.retired ?? true;
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

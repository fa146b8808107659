import {
  formatModel,
  parseModel,
  type Adapter,
  type Tree,
} from '@marigoldspur/settings-schema';
import {
  adapterOf,
  own,
  serviceOf,
  versionOf,
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
export interface HoldingService {
  readonly customer: string;
  readonly service: string;
  /** Adapters that the target holds, as `adapter@version`. */
  readonly resident: readonly string[];
}

/** The versions that a change of the settings adds to adapters that a target holds. */
export function newVersions(
  before: Tree,
  after: Tree,
  {customer, service, resident}: HoldingService,
): Successor[] {
  const earlier = serviceOf(before, customer, service);
  const now = serviceOf(after, customer, service);
  if (now?.kind !== 'model' || earlier?.kind !== 'model') {
    return [];
  }
  const {store} = now;
  return resident.flatMap(predecessor =>
    parseModel(predecessor)
      .map(({adapter}) =>
        addedVersions(
          own(earlier.adapters, adapter),
          own(now.adapters, adapter),
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
  tree: Tree,
  customer: string,
  model: string,
): boolean {
  return parseModel(model)
    .map(name => {
      const place = adapterOf(tree, customer, name);
      return versionOf(place?.adapter, name.version)?.retired ?? true;
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
      !retired && versionOf(before, version) === undefined,
  );
}

import {Result} from 'true-myth';
import type {SettingsFollower} from '@marigoldspur/control-client';
import type {Refusal} from '@marigoldspur/faults';
import type {Hop} from '@marigoldspur/messages';
import {formatModel, type AdapterVersion} from '@marigoldspur/settings-schema';
import {
  locateAdapter,
  findService,
  findVersion,
} from '@marigoldspur/settings-tree';
import {notRunRefusal} from './not-run-refusal.js';

/** Where adapters are looked up. */
export interface AdapterLookup {
  readonly customer: string;
  readonly service: string;
  readonly settings: Pick<SettingsFollower, 'settings'>;
}

/** What the settings say of an adapter version. */
export interface FoundAdapter {
  readonly digest: string;
  readonly store: string;
}

const REVISION_WAIT_MS = 1_000;
const REVISION_POLL_MS = 10;

/**
 * Looks an adapter version up. One that is unknown here while the sender has newer
 * settings is looked up again once those are here, within a bound.
 */
export async function findAdapter(
  hop: Hop,
  model: AdapterVersion,
  lookup: AdapterLookup,
): Promise<Result<FoundAdapter, Refusal>> {
  const deadline = performance.now() + REVISION_WAIT_MS;
  const revision = () => lookup.settings.settings.revision;
  let found = find(hop, model, lookup);
  while (
    found.isErr &&
    revision() < hop.revision &&
    performance.now() < deadline
  ) {
    await new Promise(resolve => setTimeout(resolve, REVISION_POLL_MS));
    found = find(hop, model, lookup);
  }
  return found;
}

function find(
  hop: Hop,
  model: AdapterVersion,
  lookup: AdapterLookup,
): Result<FoundAdapter, Refusal> {
  const {customer, service, settings} = lookup;
  const {revision, tree} = settings.settings;
  const place = locateAdapter(tree, customer, model);
  const target = findService(tree, customer, service);
  const version = findVersion(place?.adapter, model.version);
  if (
    version === undefined ||
    place?.service !== service ||
    target?.kind !== 'model'
  ) {
    const name = formatModel(model);
    return Result.err(
      notRunRefusal(503, 'unknown_adapter', `${name} is not known here`),
    );
  }
  // A request that was admitted before the version was retired still runs.
  if (version.retired && hop.revision >= revision) {
    return Result.err(
      notRunRefusal(404, 'retired_version', 'the version is retired'),
    );
  }
  return Result.ok({digest: version.digest, store: target.store});
}

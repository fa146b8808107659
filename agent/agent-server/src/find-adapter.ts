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

/** Service and settings in which adapters are looked up. */
export interface AdapterLookup {
  readonly customer: string;
  readonly service: string;
  readonly settings: Pick<SettingsFollower, 'settings'>;
}

/** Settings of an adapter version. */
export interface FoundAdapter {
  readonly digest: string;
  readonly store: string;
}

const REVISION_TIMEOUT_MS = 1_000;
const REVISION_POLL_MS = 10;

/**
 * Looks up an adapter version. If it is unknown and the sender has newer
 * settings, waits for a limited time for those settings to arrive.
 */
export async function findAdapter(
  hop: Hop,
  model: AdapterVersion,
  lookup: AdapterLookup,
): Promise<Result<FoundAdapter, Refusal>> {
  const deadline = performance.now() + REVISION_TIMEOUT_MS;
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
  const location = locateAdapter(tree, customer, model);
  const target = findService(tree, customer, service);
  const version = findVersion(location?.adapter, model.version);
  if (
    version === undefined ||
    location?.service !== service ||
    target?.kind !== 'model'
  ) {
    const name = formatModel(model);
    return Result.err(
      notRunRefusal(503, 'unknown_adapter', `adapter ${name} is unknown`),
    );
  }
  // A request that was admitted before the version was retired may still run.
  if (version.retired && hop.revision >= revision) {
    return Result.err(
      notRunRefusal(404, 'retired_version', 'the version is retired'),
    );
  }
  return Result.ok({digest: version.digest, store: target.store});
}

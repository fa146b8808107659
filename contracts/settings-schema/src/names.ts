import {z} from 'zod';
import {Result} from 'true-myth';
import type {Finding} from '@marigoldspur/faults';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,63}$/;

/** A name of a customer, service, adapter, version or target. */
export const NAME_SCHEMA = z
  .string()
  .regex(
    NAME_PATTERN,
    'must be 1 to 64 of a-z, 0-9, dot, dash and underscore, starting with a letter or digit',
  );

/** The adapter and version that a request names. */
export interface AdapterVersion {
  readonly adapter: string;
  readonly version: string;
}

/** Parses the `model` field of a request, `adapter@version`. */
export function parseModel(model: string): Result<AdapterVersion, Finding> {
  const parts = model.split('@');
  if (parts.length !== 2 || !parts.every(part => NAME_PATTERN.test(part))) {
    return Result.err({
      place: 'model',
      reason: 'must name an adapter and a version as adapter@version',
    });
  }
  return Result.ok({adapter: parts[0], version: parts[1]});
}

/** Formats an adapter and version as a `model` field. */
export function formatModel(model: AdapterVersion): string {
  return `${model.adapter}@${model.version}`;
}

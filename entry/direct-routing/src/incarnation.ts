import type {TargetIncarnation} from '@marigoldspur/deployment';

/** Key of one incarnation of a target. */
export function incarnationOf({id, bornAt}: TargetIncarnation): string {
  return `${id}/${bornAt}`;
}

import {NO_ROOM_MS} from './rank-engines.js';

/** Maximum number of steps to the level; each step leaves out engines above it. */
const MAX_STEPS = 16;
/**
 * Largest rise of the level above the lowest cost, in milliseconds. It lies between the costs
 * of engines with room and the additional one of those without, so that the latter are not
 * filled as long as another engine has room.
 */
const MAX_RISE_MS = NO_ROOM_MS / 2;
/**
 * Difference up to which costs count as equal, in milliseconds. Rounding errors of equal costs
 * would otherwise make all engines preferred ones.
 */
const ROUNDING_MS = 1e-6;

/**
 * The cost up to which requests that take `fillMs` together fill the engines with less, in
 * milliseconds. Requests that each go where the cost is lowest leave the engines at it.
 */
export function waterLevel(costsMs: Float64Array, fillMs: number): number {
  let lowestMs = Infinity;
  for (let index = 0; index < costsMs.length; index += 1) {
    if (costsMs[index] < lowestMs) {
      lowestMs = costsMs[index];
    }
  }
  let levelMs = lowestMs + MAX_RISE_MS;
  for (let step = 0; step < MAX_STEPS; step += 1) {
    let count = 0;
    let sumMs = fillMs;
    for (let index = 0; index < costsMs.length; index += 1) {
      if (costsMs[index] < levelMs) {
        count += 1;
        sumMs += costsMs[index];
      }
    }
    if (count === 0 || sumMs / count >= levelMs) {
      return levelMs;
    }
    levelMs = sumMs / count;
  }
  return levelMs;
}

/**
 * The share of requests that has to prefer the engines with the lowest costs so that, with
 * their part of an even spread over the engines below the level, each is filled up to it.
 */
export function preferredShare(costsMs: Float64Array, levelMs: number): number {
  let filled = 0;
  let fillMs = 0;
  for (let index = 0; index < costsMs.length; index += 1) {
    filled += costsMs[index] < levelMs ? 1 : 0;
    fillMs += depthOf(costsMs[index], levelMs);
  }
  const evenMs = fillMs / filled;
  let preferred = 0;
  let preferredMs = 0;
  for (let index = 0; index < costsMs.length; index += 1) {
    const excessMs = levelMs - costsMs[index] - evenMs;
    if (excessMs > ROUNDING_MS) {
      preferred += 1;
      preferredMs += excessMs;
    }
  }
  if (filled <= 1) {
    return 1;
  }
  return preferredMs === 0
    ? 0
    : Math.min(1, preferredMs / fillMs / (1 - preferred / filled));
}

/**
 * Index of an engine below the level, at random by how far it is below; `random` is in [0, 1).
 * Undefined if none is below it.
 */
export function chooseBelow(
  costsMs: Float64Array,
  levelMs: number,
  random: number,
): number | undefined {
  let fillMs = 0;
  for (let index = 0; index < costsMs.length; index += 1) {
    fillMs += depthOf(costsMs[index], levelMs);
  }
  let restMs = random * fillMs;
  let last: number | undefined;
  for (let index = 0; index < costsMs.length; index += 1) {
    const ownMs = levelMs - costsMs[index];
    if (ownMs > 0) {
      last = index;
      restMs -= ownMs;
      if (restMs < 0) {
        return index;
      }
    }
  }
  return last;
}

/** How far a cost is below the level, in milliseconds; 0 for a cost that is not a number. */
function depthOf(costMs: number, levelMs: number): number {
  return costMs < levelMs ? levelMs - costMs : 0;
}

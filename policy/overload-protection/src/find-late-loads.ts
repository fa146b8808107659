/** A load with a deadline. */
export interface DeadlineLoad {
  /** When it was requested, in milliseconds. */
  readonly askedAt: number;
  /** Latest useful end of the load, in milliseconds. */
  readonly deadline: number;
}

/** Options of `findLateLoads`. */
export interface LateLoadOptions {
  /** When the store can start the first load, in milliseconds. */
  readonly storeFreeAt: number;
  /** How long one load takes, in milliseconds. */
  readonly loadMs: number;
  /**
   * Share of the time until its deadline that a load may wait, above 0 and up
   * to 1.
   */
  readonly patience: number;
}

/**
 * Finds the loads that miss their deadline if the loads run one by one in the
 * given order.
 */
export function findLateLoads<Load extends DeadlineLoad>(
  ordered: readonly Load[],
  options: LateLoadOptions,
): Load[] {
  const late: Load[] = [];
  let storeFreeAt = options.storeFreeAt;
  for (const load of ordered) {
    const end = storeFreeAt + options.loadMs;
    if (end > latestUsefulEnd(load, options.patience)) {
      late.push(load);
    } else {
      storeFreeAt = end;
    }
  }
  return late;
}

function latestUsefulEnd(load: DeadlineLoad, patience: number): number {
  return load.askedAt + patience * (load.deadline - load.askedAt);
}

/** A load that is of use until a certain time. */
export interface DeadlineLoad {
  /** When it was asked for, in milliseconds. */
  readonly askedAt: number;
  /** Latest time at which its end is of use, in milliseconds. */
  readonly deadline: number;
}

/** What is known of the store at the time of the decision. */
export interface LateLoadOptions {
  /** When the store can begin the first load, in milliseconds. */
  readonly freeAt: number;
  /** How long one load takes, in milliseconds. */
  readonly loadMs: number;
  /** Share of its time that a load may wait, above 0 up to 1. */
  readonly patience: number;
}

/** The loads that can't end in time when they run one by one in the given order. */
export function findLateLoads<Load extends DeadlineLoad>(
  ordered: readonly Load[],
  options: LateLoadOptions,
): Load[] {
  const late: Load[] = [];
  let freeAt = options.freeAt;
  for (const load of ordered) {
    const end = freeAt + options.loadMs;
    if (end > latestEnd(load, options.patience)) {
      late.push(load);
    } else {
      freeAt = end;
    }
  }
  return late;
}

function latestEnd(load: DeadlineLoad, patience: number): number {
  return load.askedAt + patience * (load.deadline - load.askedAt);
}

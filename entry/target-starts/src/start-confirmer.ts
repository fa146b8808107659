import {
  isSameIncarnation,
  UNKNOWN_START_TIME,
  type TargetIncarnation,
} from '@marigoldspur/deployment';

/** Options of a start confirmer. */
export interface StartConfirmerOptions {
  /**
   * Asks the process at an address when it started, in Unix milliseconds; undefined if it
   * does not say.
   */
  readonly askStart: (address: string) => Promise<number | undefined>;
}

/** A start of a target, and its address. */
type TargetStart = TargetIncarnation & {readonly address: string};

/**
 * Which start of a target responded: the announced one, or another; `unknown` if the process
 * does not say.
 */
export type RespondingStart = 'announced' | 'other' | 'unknown';

/** Confirms that connections lead to the announced starts of targets. */
export class StartConfirmer {
  /** Starts that were confirmed, by connection. */
  private readonly confirmed = new WeakMap<object, number>();

  constructor(private readonly options: StartConfirmerOptions) {}

  /**
   * Resolves to which start of a target a response came from. Its head has
   * arrived over the connection, and its request was sent after the announcement. IDs of
   * targets that state no start belong to one start.
   */
  async confirm(
    target: TargetStart,
    connection: object,
  ): Promise<RespondingStart> {
    const {address, bornAt} = target;
    if (bornAt === UNKNOWN_START_TIME) {
      return 'announced';
    }
    if (this.confirmed.get(connection) === bornAt) {
      return 'announced';
    }
    const start = await this.options.askStart(address);
    if (start === undefined) {
      return 'unknown';
    }
    if (!isSameIncarnation(start, bornAt)) {
      return 'other';
    }
    this.confirmed.set(connection, bornAt);
    return 'announced';
  }
}

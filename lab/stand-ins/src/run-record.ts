/** What a target really ran, for the checks of histories. */
export interface RunRecord {
  /** Request identity, from the hop header. */
  readonly request: string;
  readonly attempt: number;
  /** Adapter and version that ran, or the path of a plain service. */
  readonly model: string;
  /** Text of the prompt or body that ran. */
  readonly input: string;
  /** When it began, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** How it ended. */
  end: 'running' | 'whole' | 'cancelled' | 'failed';
}

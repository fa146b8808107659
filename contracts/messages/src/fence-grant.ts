/** A fencing number that control granted to an agent. */
export interface FenceGrant {
  readonly fence: number;
  /** Whether none was granted for the target before. */
  readonly first: boolean;
  /** Time for which control has confirmed no earlier agent of the target, in milliseconds. */
  readonly silentMs: number;
}

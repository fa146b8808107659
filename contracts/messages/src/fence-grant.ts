/** A fencing number that control granted to an agent. */
export interface FenceGrant {
  readonly fence: number;
  /** Whether this is the first number granted for the target. */
  readonly first: boolean;
  /** Time since control last confirmed an earlier agent of the target, in milliseconds. */
  readonly silentMs: number;
}

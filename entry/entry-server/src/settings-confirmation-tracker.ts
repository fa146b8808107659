import type {SettingsFollower} from '@marigoldspur/control-client';

/**
 * Tracks when control last confirmed that the active settings are the latest.
 */
export class SettingsConfirmationTracker {
  private confirmedAt = -Infinity;

  constructor(
    private readonly follower: Pick<
      SettingsFollower,
      'settings' | 'lastConfirmedAt'
    >,
  ) {}

  /**
   * Records the latest revision that control stated at time `now`, in
   * milliseconds, for example in the answer to a heartbeat.
   */
  recordRevision(revision: number, now: number): void {
    if (revision <= this.follower.settings.revision) {
      this.confirmedAt = now;
    }
  }

  /** When control last confirmed the settings, in milliseconds. */
  get lastConfirmedAt(): number {
    return Math.max(this.confirmedAt, this.follower.lastConfirmedAt);
  }
}

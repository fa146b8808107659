import type {SettingsFollower} from '@marigoldspur/control-client';

/** Knows when control last confirmed that the settings in force are the latest. */
export class SettingsConfirmationTracker {
  private heardAt = -Infinity;

  constructor(
    private readonly follower: Pick<
      SettingsFollower,
      'settings' | 'lastConfirmedAt'
    >,
  ) {}

  /** Takes the revision that control named at time `now`, as in the answer to a heartbeat. */
  recordRevision(revision: number, now: number): void {
    if (revision <= this.follower.settings.revision) {
      this.heardAt = now;
    }
  }

  /** When control last confirmed the settings, in milliseconds. */
  get lastConfirmedAt(): number {
    return Math.max(this.heardAt, this.follower.lastConfirmedAt);
  }
}

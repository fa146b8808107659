/** Notifies waiters that a value has changed. */
export class ChangeSignal {
  private readonly waiters = new Set<() => void>();

  /** Resolves all pending waits. */
  notify(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach(wake => wake());
  }

  /** Resolves at the next notification, or after `waitMs` milliseconds without one. */
  wait(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.waiters.add(wake);
    });
  }
}

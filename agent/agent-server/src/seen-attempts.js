const DEFAULT_KEEP_MS = 600_000;
const DEFAULT_LIMIT = 50_000;
/** Remembers attempts, so that none runs twice at one agent. */
export class SeenAttempts {
    options;
    seenAt = new Map();
    constructor(options = {}) {
        this.options = options;
    }
    /** Takes note of an attempt; false when it came before. */
    add(attempt, now) {
        this.forget(now);
        if (this.seenAt.has(attempt)) {
            return false;
        }
        this.seenAt.set(attempt, now);
        return true;
    }
    forget(now) {
        const { keepMs = DEFAULT_KEEP_MS, limit = DEFAULT_LIMIT } = this.options;
        for (const [attempt, seenAt] of this.seenAt) {
            if (this.seenAt.size < limit && now - seenAt < keepMs) {
                return;
            }
            this.seenAt.delete(attempt);
        }
    }
}

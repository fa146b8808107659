/** A load with the requests that wait for it. */
export class PendingLoad {
    first;
    askedAt;
    needs = new Set();
    unwanted = new AbortController();
    done;
    finish = () => { };
    constructor(first, 
    /** When it was asked for, a `performance.now()` time. */
    askedAt) {
        this.first = first;
        this.askedAt = askedAt;
        this.done = new Promise(resolve => {
            this.finish = resolve;
        });
    }
    get model() {
        return this.first.model;
    }
    get digest() {
        return this.first.digest;
    }
    /** Requests that wait. */
    get waiters() {
        return this.needs.size;
    }
    /** Aborted once nobody waits any more. */
    get signal() {
        return this.unwanted.signal;
    }
    /** Waits until the load ends, or the need is given up or too late. */
    async wait(need) {
        this.needs.add(need);
        await Promise.race([this.done, givenUp(need, this.done)]);
        this.needs.delete(need);
        if (this.needs.size === 0) {
            this.unwanted.abort();
        }
    }
    /** Wakes everyone who waits. */
    settle() {
        this.finish();
    }
    /** The request for a permit, as it stands now. */
    ask(agent) {
        const priorities = [...this.needs].map(need => need.priority);
        return {
            store: this.first.store,
            agent,
            model: this.model,
            waiters: this.needs.size,
            priority: Math.min(this.first.priority, ...priorities),
            oldestWaitMs: performance.now() - this.askedAt,
        };
    }
}
/** Resolves when a need is given up or its deadline passes, or with `done`. */
function givenUp(need, done) {
    return new Promise(resolve => {
        const end = () => {
            clearTimeout(timer);
            need.signal.removeEventListener('abort', end);
            resolve();
        };
        const leftMs = Math.max(0, need.deadlineMs - performance.now());
        const timer = setTimeout(end, leftMs);
        need.signal.addEventListener('abort', end, { once: true });
        void done.then(end);
    });
}

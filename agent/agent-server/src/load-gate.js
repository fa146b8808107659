import PQueue from 'p-queue';
import { Result } from 'true-myth';
import { Fault } from '@marigoldspur/faults';
const PERMIT_WAIT_MS = 5_000;
const CALL_SLACK_MS = 1_000;
const RELEASE_WAIT_MS = 5_000;
const AWAY_POLL_MS = 200;
const SECOND_MS = 1_000;
/** Asks control for each ticket. */
export class ControlLoadGate {
    client;
    constructor(client) {
        this.client = client;
    }
    async enter(ask, signal) {
        while (!signal.aborted) {
            const asked = this.askOnce(ask());
            const answer = await Promise.race([asked, aborted(signal)]);
            if (answer === undefined) {
                void asked.then(late => late.map(ticket => ticket?.release(false)));
            }
            else if (answer.isErr) {
                return Result.err(answer.error);
            }
            else if (answer.value !== undefined) {
                return Result.ok(answer.value);
            }
        }
        return notWanted();
    }
    /** Asks once; undefined where no permit came free. */
    async askOnce(ask) {
        const answer = await this.client.call(replica => replica.acquirePermit.mutate({ ...ask, waitMs: PERMIT_WAIT_MS }, { signal: AbortSignal.timeout(PERMIT_WAIT_MS + CALL_SLACK_MS) }), performance.now() + PERMIT_WAIT_MS + CALL_SLACK_MS);
        return answer.map(({ permit }) => permit === undefined
            ? undefined
            : { release: loaded => this.release(permit, loaded) });
    }
    release(permit, loaded) {
        void this.client.call((replica, signal) => replica.releasePermit.mutate({ permit, loaded }, { signal }), performance.now() + RELEASE_WAIT_MS);
    }
}
/** Hands out tickets at the agent's share of the store's rate, one load at a time. */
export class ShareLoadGate {
    queue;
    constructor(options) {
        this.queue = new PQueue({
            concurrency: 1,
            interval: SECOND_MS / options.loadsPerSecond,
            intervalCap: 1,
        });
    }
    enter(ask, signal) {
        return new Promise(resolve => {
            const run = () => new Promise(release => resolve(Result.ok({ release: () => release() })));
            this.queue
                .add(run, { signal, priority: -ask().priority })
                .catch(() => resolve(notWanted()));
        });
    }
}
/** Asks control, or keeps to the agent's share while control is away. */
export class FallbackLoadGate {
    options;
    constructor(options) {
        this.options = options;
    }
    async enter(ask, signal) {
        const { control, isAway, share, turned } = this.options;
        while (!signal.aborted) {
            if (isAway()) {
                turned();
                return share.enter(ask, signal);
            }
            const lost = new AbortController();
            const poll = setInterval(() => {
                if (isAway()) {
                    lost.abort();
                }
            }, AWAY_POLL_MS);
            const ticket = await control.enter(ask, AbortSignal.any([signal, lost.signal]));
            clearInterval(poll);
            if (ticket.isOk) {
                return ticket;
            }
            if (!lost.signal.aborted) {
                await aborted(AbortSignal.any([signal, AbortSignal.timeout(AWAY_POLL_MS)]));
            }
        }
        return notWanted();
    }
}
function notWanted() {
    return Result.err(new Fault('TIMEOUT', 'nobody waits for the load any more'));
}
function aborted(signal) {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve(undefined);
        }
        signal.addEventListener('abort', () => resolve(undefined), { once: true });
    });
}

import net from 'node:net';
const CONNECT_TIMEOUT_MS = 1_000;
/** Checks at a steady pace whether a plain service accepts connections. */
export class ServiceWatch {
    url;
    changed;
    timer;
    isHealthy = false;
    stopped = false;
    /** `changed` is called when the service turns healthy or not. */
    constructor(url, changed) {
        this.url = url;
        this.changed = changed;
    }
    get healthy() {
        return this.isHealthy;
    }
    start(intervalMs) {
        const check = async () => {
            const healthy = await accepts(new URL(this.url));
            if (healthy !== this.isHealthy) {
                this.isHealthy = healthy;
                this.changed();
            }
            if (!this.stopped) {
                this.timer = setTimeout(() => void check(), intervalMs);
            }
        };
        void check();
    }
    stop() {
        this.stopped = true;
        clearTimeout(this.timer);
    }
}
function accepts(url) {
    return new Promise(resolve => {
        const port = Number(url.port || '80');
        const socket = net.connect({ host: url.hostname, port });
        const end = (accepted) => {
            socket.destroy();
            resolve(accepted);
        };
        socket.setTimeout(CONNECT_TIMEOUT_MS, () => end(false));
        socket.on('connect', () => end(true));
        socket.on('error', () => end(false));
    });
}

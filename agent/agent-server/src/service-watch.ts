import net from 'node:net';

const CONNECT_TIMEOUT_MS = 1_000;

/** Checks at a steady pace whether a plain service accepts connections. */
export class ServiceWatch {
  private timer?: NodeJS.Timeout;
  private isHealthy = false;
  private stopped = false;

  /** `changed` is called when the service turns healthy or not. */
  constructor(
    private readonly url: string,
    private readonly changed: () => void,
  ) {}

  get healthy(): boolean {
    return this.isHealthy;
  }

  start(intervalMs: number): void {
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

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }
}

function accepts(url: URL): Promise<boolean> {
  return new Promise(resolve => {
    const port = Number(url.port || '80');
    const socket = net.connect({host: url.hostname, port});
    const end = (accepted: boolean) => {
      socket.destroy();
      resolve(accepted);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => end(false));
    socket.on('connect', () => end(true));
    socket.on('error', () => end(false));
  });
}

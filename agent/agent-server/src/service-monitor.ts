import http from 'node:http';
import net from 'node:net';
import {BoundedSignal} from '@marigoldspur/bounded-signal';
import {openRequest} from '@marigoldspur/http-link';

/** What a service watch works with. */
export interface ServiceMonitorOptions {
  /** Base URL of the service. */
  readonly url: string;
  /** Path that answers 2xx while the service serves; undefined where a connection is enough. */
  readonly healthPath: () => string | undefined;
  /** Called when the service turns healthy or not. */
  readonly changed: () => void;
}

const CHECK_TIMEOUT_MS = 1_000;

/** Checks at a steady pace whether a plain service serves. */
export class ServiceMonitor {
  private readonly connections = new http.Agent({keepAlive: false});
  private timer?: NodeJS.Timeout;
  private isHealthy = false;
  private stopped = false;

  constructor(private readonly options: ServiceMonitorOptions) {}

  get healthy(): boolean {
    return this.isHealthy;
  }

  start(intervalMs: number): void {
    const check = async () => {
      const healthy = await this.check();
      if (healthy !== this.isHealthy) {
        this.isHealthy = healthy;
        this.options.changed();
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

  private check(): Promise<boolean> {
    const {healthPath, url} = this.options;
    const path = healthPath();
    return path === undefined
      ? accepts(new URL(url))
      : this.answers(new URL(path, url));
  }

  private answers(url: URL): Promise<boolean> {
    const bounded = new BoundedSignal({timeoutMs: CHECK_TIMEOUT_MS});
    return new Promise(resolve => {
      const call = openRequest({
        url,
        method: 'GET',
        headers: {},
        agent: this.connections,
        signal: bounded.signal,
      });
      call.on('response', answer => {
        const status = answer.statusCode ?? 0;
        answer.resume();
        resolve(status >= 200 && status < 300);
      });
      call.on('error', () => resolve(false));
      call.on('close', () => bounded.dispose());
      call.end();
    });
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
    socket.setTimeout(CHECK_TIMEOUT_MS, () => end(false));
    socket.on('connect', () => end(true));
    socket.on('error', () => end(false));
  });
}

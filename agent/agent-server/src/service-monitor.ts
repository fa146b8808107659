import net from 'node:net';
import {BoundedSignal} from '@marigoldspur/abort-signals';
import {
  discardBody,
  openRequest,
  TargetHttpAgent,
} from '@marigoldspur/http-link';

/** Options of a service monitor. */
export interface ServiceMonitorOptions {
  /** Base URL of the service. */
  readonly url: string;
  /**
   * Returns the path that responds with 2xx while the service is healthy;
   * undefined if accepting a connection is sufficient.
   */
  readonly healthPath: () => string | undefined;
  /** Called when the service becomes healthy or unhealthy. */
  readonly onChange: () => void;
}

const CHECK_TIMEOUT_MS = 1_000;

/** Periodically checks whether a plain service is healthy. */
export class ServiceMonitor {
  private readonly connections = new TargetHttpAgent({keepAlive: false});
  private timer?: NodeJS.Timeout;
  private healthy = false;
  private isStopped = false;

  constructor(private readonly options: ServiceMonitorOptions) {}

  /** Whether the service passed its last health check; false before the first one. */
  get isHealthy(): boolean {
    return this.healthy;
  }

  /** Starts the checks, with a pause of `intervalMs` after each. */
  start(intervalMs: number): void {
    const check = async () => {
      const healthy = await this.check();
      if (healthy !== this.healthy) {
        this.healthy = healthy;
        this.options.onChange();
      }
      if (!this.isStopped) {
        this.timer = setTimeout(() => void check(), intervalMs);
      }
    };
    void check();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private check(): Promise<boolean> {
    const {healthPath, url} = this.options;
    const path = healthPath();
    return path === undefined
      ? acceptsConnection(new URL(url))
      : this.respondsOk(new URL(path, url));
  }

  private respondsOk(url: URL): Promise<boolean> {
    const bounded = new BoundedSignal({timeoutMs: CHECK_TIMEOUT_MS});
    return new Promise(resolve => {
      const request = openRequest({
        url,
        method: 'GET',
        headers: {},
        agent: this.connections,
        signal: bounded.signal,
      });
      request.on('response', response => {
        const status = response.statusCode ?? 0;
        discardBody(response);
        resolve(status >= 200 && status < 300);
      });
      request.on('error', () => resolve(false));
      request.on('close', () => bounded.dispose());
      request.end();
    });
  }
}

function acceptsConnection(url: URL): Promise<boolean> {
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

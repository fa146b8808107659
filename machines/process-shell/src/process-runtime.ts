import {EventLog, jsonLineSink, LineWriter} from '@marigoldspur/event-log';
import {
  openLinkSecurity,
  type LinkSecurity,
  type LinkSettings,
} from '@marigoldspur/link-security';
import type {ProcessRole, ProcessStatus} from '@marigoldspur/messages';
import {createProcessMetrics, type ProcessMetrics} from '@marigoldspur/metrics';
import {createBootId} from '@marigoldspur/process-life';
import {VERSION} from '@marigoldspur/process-settings';
import {
  startProcessServer,
  type ProcessServerOptions,
} from '@marigoldspur/process-server';

/** Settings that every process has. */
export interface ProcessRuntimeSettings extends LinkSettings {
  /** Name of the process, stable over restarts. */
  readonly id: string;
  readonly zone: string;
  /** Port for other processes and operators; 0 takes any free one. */
  readonly port: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
}

/** What a process offers besides what every process does. */
export interface ProcessServeOptions extends Pick<
  ProcessServerOptions,
  'routers' | 'paths' | 'fallback' | 'checkContinue'
> {
  /** Settings revision in force. */
  readonly revision: () => number;
  /** Whether the process could take work, if it does not shut down. */
  readonly isReady?: () => boolean;
  /** Further facts for operators. */
  readonly facts: () => ProcessStatus['facts'];
  /** Settings after a revision, for processes that are behind. */
  readonly settings?: ProcessServerOptions['service']['settings'];
  /** Starts a graceful shutdown. */
  readonly drain: () => void;
}

const STANDARD_OUTPUT = 1;

/** The parts that every process of the system is made of. */
export class ProcessRuntime {
  readonly boot = createBootId();
  readonly metrics: ProcessMetrics;
  private readonly startedAt = performance.now();
  private draining = false;

  private constructor(
    private readonly role: ProcessRole,
    private readonly settings: ProcessRuntimeSettings,
    readonly events: EventLog,
    readonly security: LinkSecurity,
  ) {
    const {id, zone} = settings;
    this.metrics = createProcessMetrics({process: id, role, zone});
  }

  /** Opens the parts; throws `InvalidInput` where the keys are wrong. */
  static async open(
    role: ProcessRole,
    settings: ProcessRuntimeSettings,
  ): Promise<ProcessRuntime> {
    const lines = new LineWriter({
      descriptor: STANDARD_OUTPUT,
      onDropped: count => events.record('lines-dropped', {count}),
    });
    process.on('exit', () => lines.flush());
    const sinks = [jsonLineSink(settings.logLevel, lines)];
    const events: EventLog = new EventLog({process: settings.id, sinks});
    const security = await openLinkSecurity(settings, events);
    return new ProcessRuntime(role, settings, events, security);
  }

  /** Whether the process shuts down. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** Serves other processes and operators; resolves to the base URL. */
  async serve(offer: ProcessServeOptions): Promise<string> {
    const {host, port} = this.settings;
    const {events} = this;
    const server = await startProcessServer({
      address: {host, port},
      security: this.security,
      metrics: this.metrics,
      ready: () => this.isReady(offer),
      routers: offer.routers,
      paths: offer.paths,
      fallback: offer.fallback,
      checkContinue: offer.checkContinue,
      service: {
        status: () => this.status(offer),
        events: (after, limit, request) =>
          events.eventsAfter(after, limit, request),
        settings: offer.settings,
        drain: offer.drain,
      },
    });
    return server.url;
  }

  /** Takes note that the process shuts down; it is not ready from now on. */
  beginDrain(): void {
    this.draining = true;
    this.events.record('process-draining');
  }

  /** Takes note that the process has ended its work. */
  stop(): void {
    this.security.stop();
    this.events.record('process-stopped');
  }

  private isReady(offer: ProcessServeOptions): boolean {
    return !this.draining && offer.isReady?.() !== false;
  }

  private status(offer: ProcessServeOptions): ProcessStatus {
    const {id, zone} = this.settings;
    return {
      id,
      role: this.role,
      zone,
      boot: this.boot,
      version: VERSION,
      revision: offer.revision(),
      ready: this.isReady(offer),
      draining: this.draining,
      uptimeMs: performance.now() - this.startedAt,
      facts: offer.facts(),
    };
  }
}

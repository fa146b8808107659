import {maxHeaderSize} from 'node:http';
import type {Server} from 'node:net';
import {getHeapStatistics} from 'node:v8';
import type {CloseReason} from '@marigoldspur/connection-guard';
import {
  EventLog,
  createJsonLineSink,
  LineWriter,
} from '@marigoldspur/event-log';
import {
  listenWhenFree,
  type Address,
  type PortListener,
} from '@marigoldspur/http-link';
import {
  openLinkSecurity,
  type LinkSecurity,
  type LinkSettings,
} from '@marigoldspur/link-security';
import {
  connectionBytes,
  MemoryBudget,
  MemoryLimit,
  RefusalSpell,
  registerBudgetMetrics,
  REQUEST_OBJECTS,
  UNLIMITED,
} from '@marigoldspur/memory-budget';
import type {ProcessRole, ProcessStatus} from '@marigoldspur/messages';
import {createProcessMetrics, type ProcessMetrics} from '@marigoldspur/metrics';
import {BodyReader} from '@marigoldspur/request-bodies';
import {createBootId} from '@marigoldspur/process-lifecycle';
import {VERSION} from '@marigoldspur/process-settings';
import {
  ProcessPort,
  startProcessServer,
  type ProcessServerOptions,
} from '@marigoldspur/process-server';

/** Settings that every process has. */
export interface ProcessRuntimeSettings extends LinkSettings {
  /** Name of the process, stable across restarts. */
  readonly id: string;
  readonly zone: string;
  /** Port for other processes and operators; 0 selects any free port. */
  readonly port: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
  /** Memory that the process may use, in bytes; no limit if absent. */
  readonly memoryBytes?: number;
  /** Number of file descriptors that the process may open; no limit if absent. */
  readonly maxDescriptors?: number;
}

/** What a process serves in addition to its health, metrics, status and events. */
export interface ProcessServeOptions extends Pick<
  ProcessServerOptions,
  'routers' | 'paths' | 'fallback' | 'checkContinue'
> {
  /** Returns the revision of the active settings. */
  readonly revision: () => number;
  /** Whether the process can take work while it is not draining. */
  readonly isReady?: () => boolean;
  /** Further status details for operators. */
  readonly facts: () => ProcessStatus['facts'];
  /** Returns the settings after a revision, for processes with an older one. */
  readonly settings?: ProcessServerOptions['service']['settings'];
  /** Share of the memory for connections that those of other processes may take. */
  readonly connectionShare?: number;
  /** Starts a graceful shutdown. */
  readonly drain: () => void;
}

const STDOUT_DESCRIPTOR = 1;
/** Share of the largest heap that requests in progress may take. */
const REQUEST_OBJECTS_SHARE = 0.4;
/** Share of the memory for connections that those to one of two servers may take. */
const DEFAULT_SERVER_SHARE = 0.5;
const BYTES_PER_IDLE_CONNECTION = 4_096;
/** Descriptors for files, listening sockets, readiness checks and connections to control. */
const RESERVED_DESCRIPTORS = 48;
/** Share of the other descriptors for connections to the servers of the process. */
const CONNECTION_DESCRIPTORS_SHARE = 0.7;
/** Share of the other descriptors for calls to targets. */
const CALL_DESCRIPTORS_SHARE = 0.25;

/** The components that every process of the system has: event log, metrics, link security and server. */
export class ProcessRuntime {
  /** Boot ID of the process. */
  readonly boot = createBootId();
  readonly metrics: ProcessMetrics;
  /** Limits what the process buffers. */
  readonly memory: MemoryBudget;
  /** Reads the messages of other processes. */
  readonly bodies: BodyReader;
  private readonly startedAt = performance.now();
  private draining = false;

  private constructor(
    private readonly role: ProcessRole,
    private readonly settings: ProcessRuntimeSettings,
    readonly events: EventLog,
    readonly security: LinkSecurity,
    private readonly port: ProcessPort,
  ) {
    const {id, zone} = settings;
    this.metrics = createProcessMetrics({process: id, role, zone});
    this.memory = createMemoryBudget(settings.memoryBytes, events);
    this.bodies = new BodyReader({budget: this.memory, kind: 'message'});
    registerBudgetMetrics(this.metrics.registry, this.memory);
  }

  /**
   * Opens the runtime of a process once its port is free; throws `InvalidInput` if the link
   * settings or keys are invalid.
   */
  static async open(
    role: ProcessRole,
    settings: ProcessRuntimeSettings,
  ): Promise<ProcessRuntime> {
    const lines = new LineWriter({
      descriptor: STDOUT_DESCRIPTOR,
      onDropped: count => events.record('lines-dropped', {count}),
    });
    process.on('exit', () => lines.flush());
    const sinks = [createJsonLineSink(settings.logLevel, lines)];
    const events: EventLog = new EventLog({process: settings.id, sinks});
    // Errors of one request, connection or stream are confined by `guard`. After any other one,
    // state that requests share may be damaged, so the process ends.
    process.on('uncaughtExceptionMonitor', ({message, stack = ''}) =>
      events.record('process-crashed', {message, stack}),
    );
    const security = await openLinkSecurity(settings, events);
    // An earlier process may hold the port and still write to files of this one, so the port
    // is opened before anything that depends on it.
    const {host, port} = settings;
    const processPort = await ProcessPort.open(
      {host, port},
      security,
      createPortListener(events),
    );
    return new ProcessRuntime(role, settings, events, security, processPort);
  }

  /** Whether the process is shutting down. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** Serves other processes and operators; returns the base URL. */
  serve(options: ProcessServeOptions): string {
    const {events, memory} = this;
    this.port.setLimits({
      memory,
      maxConnections: this.maxConnections(
        maxHeaderSize,
        options.connectionShare,
      ),
      onClosed: this.recordClosed('processes'),
    });
    const server = startProcessServer({
      port: this.port,
      security: this.security,
      memory,
      metrics: this.metrics,
      onFault: ({message}) => events.record('request-error', {message}),
      isReady: () => this.isReady(options),
      routers: options.routers,
      paths: options.paths,
      fallback: options.fallback,
      checkContinue: options.checkContinue,
      service: {
        status: () => this.status(options),
        events: (after, limit, request) =>
          events.eventsAfter(after, limit, request),
        settings: options.settings,
        drain: options.drain,
      },
    });
    return server.url;
  }

  /** Lets a further server listen as soon as its address is free. */
  listen(server: Server, address: Address): Promise<Address> {
    return listenWhenFree(server, address, createPortListener(this.events));
  }

  /**
   * Number of connections with heads of at most `maxHeaderBytes` for which one server of the
   * process has memory and descriptors, if it may take a share of those for all servers; undefined
   * without a limit.
   */
  maxConnections(
    maxHeaderBytes: number,
    share = DEFAULT_SERVER_SHARE,
  ): number | undefined {
    const {memoryBytes = Infinity} = this.settings;
    const byMemory =
      (connectionBytes(memoryBytes) * share) /
      (maxHeaderBytes + BYTES_PER_IDLE_CONNECTION);
    const byDescriptors =
      this.freeDescriptors * CONNECTION_DESCRIPTORS_SHARE * share;
    return toLimit(Math.min(byMemory, byDescriptors));
  }

  /** Number of calls to targets for which the process has descriptors; undefined without a limit. */
  maxCalls(): number | undefined {
    return toLimit(this.freeDescriptors * CALL_DESCRIPTORS_SHARE);
  }

  /**
   * Returns what records that a limit closes connections of a listener, once for a spell of each
   * limit.
   */
  recordClosed(listener: string): (limit: CloseReason) => void {
    const spells = new Map<CloseReason, RefusalSpell>();
    return limit => {
      const spell =
        spells.get(limit) ??
        new RefusalSpell(() =>
          this.events.record('connections-limited', {listener, limit}),
        );
      spells.set(limit, spell);
      spell.recordRefusal(performance.now());
    };
  }

  /** Marks the process as shutting down, so that it is no longer ready. */
  beginDrain(): void {
    this.draining = true;
    this.events.record('process-draining');
  }

  /** Stops watching the key files and records that the process has finished its work. */
  stop(): void {
    this.security.stop();
    this.events.record('process-stopped');
  }

  private get freeDescriptors(): number {
    const {maxDescriptors = Infinity} = this.settings;
    return Math.max(0, maxDescriptors - RESERVED_DESCRIPTORS);
  }

  private isReady(options: ProcessServeOptions): boolean {
    return !this.draining && options.isReady?.() !== false;
  }

  private status(options: ProcessServeOptions): ProcessStatus {
    const {id, zone} = this.settings;
    return {
      id,
      role: this.role,
      zone,
      boot: this.boot,
      version: VERSION,
      revision: options.revision(),
      ready: this.isReady(options),
      draining: this.draining,
      uptimeMs: performance.now() - this.startedAt,
      facts: options.facts(),
    };
  }
}

/** A number that is rounded down, but at least 1; undefined if it is infinite. */
function toLimit(count: number): number | undefined {
  return count === Infinity ? undefined : Math.max(1, Math.floor(count));
}

function createPortListener(events: EventLog): PortListener {
  const text = ({host, port}: Address) => `${host}:${port}`;
  return {
    onAwaited: (address, reason, waitedMs) =>
      events.record('port-awaited', {
        ...{address: text(address), reason, waitedMs: Math.round(waitedMs)},
      }),
    onOpened: (address, waitedMs) =>
      events.record('port-opened', {
        ...{address: text(address), waitedMs: Math.round(waitedMs)},
      }),
    onAcceptFailed: (address, reason) =>
      events.record('accept-failed', {address: text(address), reason}),
  };
}

function createMemoryBudget(
  memoryBytes: number | undefined,
  events: EventLog,
): MemoryBudget {
  const limit =
    memoryBytes === undefined
      ? UNLIMITED
      : new MemoryLimit({
          memoryBytes,
          connectionBytes: connectionBytes(memoryBytes),
        });
  const heapBytes = () => getHeapStatistics().total_heap_size;
  return new MemoryBudget({
    limit,
    heapBytes,
    maxBytesByHeapKind: new Map([
      [
        REQUEST_OBJECTS,
        getHeapStatistics().heap_size_limit * REQUEST_OBJECTS_SHARE,
      ],
    ]),
    listener: {
      onFull: (kind, bytes, {heldBytes, maxBytes}) =>
        events.record('buffers-full', {
          ...{kind, bytes, heldBytes, maxBytes: Math.round(maxBytes)},
          heapBytes: heapBytes(),
          residentBytes: process.memoryUsage.rss(),
        }),
      onRoom: (refusals, {heldBytes, maxBytes}) =>
        events.record('buffers-freed', {
          ...{refusals, heldBytes, maxBytes: Math.round(maxBytes)},
        }),
    },
  });
}

import type {EventLog} from '@marigoldspur/event-log';
import {formatFindings} from '@marigoldspur/faults';
import type {FleetChange, FleetView} from '@marigoldspur/fleet-view';
import {RouteTable} from '@marigoldspur/routes';
import type {WireFormat} from './wire-format.js';

/** The routes of the newest deployment that could be parsed. */
export class ActiveRoutes {
  private current: RouteTable | undefined;

  constructor(
    private readonly wireFormat: Pick<WireFormat, 'parseDeployment'>,
    private readonly events: EventLog,
  ) {}

  /** The active routes; undefined until a deployment is known. */
  get table(): RouteTable | undefined {
    return this.current;
  }

  /** Applies the changes that a message from control made to the fleet view. */
  applyChange(change: FleetChange, view: FleetView): void {
    for (const adapter of change.versions) {
      const [model, name] = adapter.split('/');
      const version = view.versionOf(model, name) ?? 0;
      this.events.record('version-in-force', {adapter, version});
    }
    const {deployment} = view;
    if (!change.hasNewDeployment || deployment === undefined) {
      return;
    }
    const {revision, text} = deployment;
    const startedAt = performance.now();
    const parsed = this.wireFormat.parseDeployment(text);
    if (parsed.isErr) {
      const reason = formatFindings(parsed.error);
      this.events.record('deployment-rejected', {revision, reason});
      return;
    }
    this.current = new RouteTable(parsed.value);
    const routes = parsed.value.routes.length;
    const tenants = parsed.value.tenants?.length ?? 'none';
    const applyMs = Math.round(performance.now() - startedAt);
    this.events.record('deployment-in-force', {
      revision,
      routes,
      tenants,
      applyMs,
    });
  }
}

import type {EventLog} from '@marigoldspur/event-log';
import {formatFindings} from '@marigoldspur/faults';
import type {FleetChange, FleetView} from '@marigoldspur/fleet-view';
import {RouteTable} from '@marigoldspur/routes';
import type {WireFormat} from './wire-format.js';

/** The routes of the newest deployment that could be read. */
export class ActiveRoutes {
  private current: RouteTable | undefined;

  constructor(
    private readonly dialect: Pick<WireFormat, 'readDeployment'>,
    private readonly events: EventLog,
  ) {}

  /** The routes in force; undefined before a deployment is known. */
  get table(): RouteTable | undefined {
    return this.current;
  }

  /** Puts in force what a message of control changed. */
  applyChange(change: FleetChange, view: FleetView): void {
    for (const adapter of change.versions) {
      const [model, name] = adapter.split('/');
      const version = view.versionOf(model, name) ?? 0;
      this.events.record('version-in-force', {adapter, version});
    }
    const {deployment} = view;
    if (!change.deployment || deployment === undefined) {
      return;
    }
    const {revision, text} = deployment;
    const read = this.dialect.readDeployment(text);
    if (read.isErr) {
      const reason = formatFindings(read.error);
      this.events.record('deployment-rejected', {revision, reason});
      return;
    }
    this.current = new RouteTable(read.value);
    const routes = read.value.routes.length;
    this.events.record('deployment-in-force', {revision, routes});
  }
}

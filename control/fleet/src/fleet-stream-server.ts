import type http from 'node:http';
import {
  adapterName,
  FLEET_MAX_INTERVAL_MS,
  type FleetMessage,
  type NamedVersion,
  type TargetAnnouncement,
  type TargetIncarnation,
} from '@marigoldspur/deployment';
import type {DeploymentState} from '@marigoldspur/deployment-state';
import type {TargetRegistry} from '@marigoldspur/target-registry';

/** What fleet streams work with. */
export interface FleetStreamServerOptions {
  readonly deployments: DeploymentState;
  readonly targets: TargetRegistry;
  /** Resolves to whether a quorum confirms what this replica has applied. */
  readonly confirm: () => Promise<boolean>;
  /** Base URLs of all replicas. */
  readonly replicas: () => readonly string[];
}

interface Follower {
  readonly response: http.ServerResponse;
  /** Whether it got the whole state, and so gets changes. */
  whole: boolean;
}

/** A follower that leaves so much unread is cut off, in bytes; it may come back. */
const MAX_UNREAD_BYTES = 4_194_304;
const PULSE: FleetMessage = {};
/** Pause before a quorum is asked again that did not confirm, in milliseconds. */
const CONFIRM_PAUSE_MS = 50;

/**
 * Streams what a replica knows of the fleet, a JSON message a line: everything once a
 * quorum has confirmed it, then each change at once, and a message each
 * `FLEET_PULSE_MS` by which the follower sees that the stream lives.
 */
export class FleetStreamServer {
  private readonly followers = new Set<Follower>();
  private readonly timer: NodeJS.Timeout;
  private revision = -1;
  private readonly versions = new Map<string, number>();
  private toldReplicas = '';

  constructor(private readonly options: FleetStreamServerOptions) {
    this.timer = setInterval(() => this.pulse(), FLEET_MAX_INTERVAL_MS);
  }

  /** Answers a request to `FLEET_PATH`. */
  handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    response.writeHead(200, {'content-type': 'application/x-ndjson'});
    const follower: Follower = {response, whole: false};
    this.followers.add(follower);
    const end = () => {
      if (this.followers.delete(follower)) {
        this.tellEntries();
      }
    };
    response.on('close', end);
    response.on('error', end);
    void this.begin(follower);
  }

  /** Passes on what changed in the replicated state. */
  deploymentChanged(): void {
    const {deployment} = this.options.deployments;
    const versions = this.newVersions();
    const isNew =
      deployment !== undefined && deployment.revision > this.revision;
    if (isNew) {
      this.revision = deployment.revision;
    }
    if (isNew || versions.length > 0) {
      this.tell({
        ...(isNew && {deployment}),
        ...(versions.length > 0 && {versions}),
      });
    }
  }

  /** Passes on an announcement that says something new. */
  targetChanged(target: TargetAnnouncement): void {
    this.tell({targets: [target]});
  }

  /** Passes on that a target said that it ends. */
  targetEnded(life: TargetIncarnation): void {
    this.tell({gone: [life]});
  }

  /** Passes on that targets have not announced themselves for a while. */
  targetsSilent(lives: readonly TargetIncarnation[]): void {
    if (lives.length > 0) {
      this.tell({silent: [...lives]});
    }
  }

  /** Ends all streams. */
  stop(): void {
    clearInterval(this.timer);
    this.followers.forEach(follower => follower.response.destroy());
    this.followers.clear();
  }

  private pulse(): void {
    const replicas = [...this.options.replicas()];
    const text = replicas.join(' ');
    const changed = text !== this.toldReplicas;
    this.toldReplicas = text;
    for (const follower of this.followers) {
      send(follower, follower.whole && changed ? {replicas} : PULSE);
    }
  }

  private async begin(follower: Follower): Promise<void> {
    const confirmed = await this.options.confirm();
    if (!this.followers.has(follower)) {
      return;
    }
    if (!confirmed) {
      setTimeout(() => void this.begin(follower), CONFIRM_PAUSE_MS);
      return;
    }
    follower.whole = true;
    const {deployments, replicas, targets} = this.options;
    send(follower, {
      whole: true,
      deployment: deployments.deployment,
      versions: deployments.namedVersions(),
      replicas: [...replicas()],
      targets: targets.targets(),
      gone: targets.ended(),
    });
    this.tellEntries();
  }

  private tellEntries(): void {
    this.tell({entries: this.followers.size});
  }

  private tell(message: FleetMessage): void {
    for (const follower of this.followers) {
      if (follower.whole) {
        send(follower, message);
      }
    }
  }

  private newVersions(): NamedVersion[] {
    const changed = this.options.deployments
      .namedVersions()
      .filter(
        ({model, adapter, version}) =>
          this.versions.get(adapterName(model, adapter)) !== version,
      );
    changed.forEach(({model, adapter, version}) =>
      this.versions.set(adapterName(model, adapter), version),
    );
    return changed;
  }
}

function send({response}: Follower, message: FleetMessage): void {
  if (response.writableLength > MAX_UNREAD_BYTES) {
    response.destroy();
    return;
  }
  response.write(`${JSON.stringify(message)}\n`);
}

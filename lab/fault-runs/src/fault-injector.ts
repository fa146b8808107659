import {setTimeout as pause} from 'node:timers/promises';
import type {HistoryLine, LinesOf} from '@marigoldspur/history';
import {startChild, type Child, type System} from '@marigoldspur/lab';
import {
  collectRecord,
  isEngine,
  type RecordedTarget,
} from './collect-record.js';
import type {CutNetwork} from './cut-network.js';
import {isCut, type FaultKind, type PlannedFault} from './fault-plan.js';
import {leaderOf} from './leader-of.js';

const PACKAGES = {
  control: '@marigoldspur/control-server',
  entry: '@marigoldspur/entry-server',
  agent: '@marigoldspur/agent-server',
  target: '@marigoldspur/lab',
} as const;

/** What a process does in the system. */
export type ChildRole = keyof typeof PACKAGES;

interface Place {
  readonly role: ChildRole;
  /** All lives of the process, the latest last. */
  readonly lives: Child[];
  /** Present in targets. */
  readonly recorded?: RecordedTarget;
  /** Whether a fault has it now. */
  faulted: boolean;
}

/** Faults that an engine stand-in makes itself. */
const ENGINE_FAULTS: Partial<Record<FaultKind, object>> = {
  'restart-engine': {restart: true},
  'cut-answers': {cutAfterTokens: 2, cutAnswers: 3},
  'leave-engine': {leaving: true},
};

/** What a fault injector works with. */
export interface FaultInjectorOptions {
  readonly system: System;
  readonly record: (line: HistoryLine) => void;
  /** Present where links can be cut. */
  readonly network?: CutNetwork;
}

/** Injects faults into a system and undoes them; knows every life of each process. */
export class FaultInjector {
  private readonly places: Place[];
  private readonly system: System;
  private readonly record: (line: HistoryLine) => void;
  private readonly network: CutNetwork | undefined;

  constructor({system, record, network}: FaultInjectorOptions) {
    this.system = system;
    this.record = record;
    this.network = network;
    this.places = [
      ...system.controls.map(child => place('control', child)),
      ...system.entries.map(child => place('entry', child)),
      ...system.targets.map(pair => place('agent', pair.agent)),
      ...system.targets.map(pair => place('target', pair.target, pair)),
    ];
  }

  /** Every life of every process of a role. */
  livesOf(role: ChildRole): Child[] {
    return this.placesOf(role).flatMap(({lives}) => lives);
  }

  /** Injects a fault and resolves once it is undone. */
  async inject(fault: PlannedFault): Promise<void> {
    await pause(fault.atMs);
    const {kind} = fault;
    this.record({line: 'fault', kind, state: 'begun', at: Date.now()});
    await this.befall(fault);
    this.record({line: 'fault', kind, state: 'undone', at: Date.now()});
  }

  private async befall(fault: PlannedFault): Promise<void> {
    const engineFaults = ENGINE_FAULTS[fault.kind];
    if (engineFaults !== undefined) {
      await this.faultEngine(fault, engineFaults);
      return;
    }
    if (isCut(fault.kind)) {
      await this.cut(fault);
      return;
    }
    const victims = await this.chooseVictims(fault);
    victims.forEach(victim => (victim.faulted = true));
    await Promise.all(
      victims.map(victim =>
        fault.kind.startsWith('kill')
          ? this.kill(victim, fault.lastsMs)
          : this.freeze(victim, fault.lastsMs),
      ),
    );
    victims.forEach(victim => (victim.faulted = false));
  }

  /** The processes that a fault stops; none where another fault has them already. */
  private async chooseVictims(fault: PlannedFault): Promise<Place[]> {
    const noun = fault.kind.split('-')[1];
    if (noun === 'zone') {
      return this.placesInZone(fault.victim).filter(({faulted}) => !faulted);
    }
    const victim =
      noun === 'leader'
        ? await this.leader()
        : this.chooseVictim(noun as ChildRole, fault.victim);
    return victim === undefined || victim.faulted ? [] : [victim];
  }

  /** The replica that leads control now. */
  private async leader(): Promise<Place> {
    const index = await leaderOf(this.system.controlUrls);
    return this.placesOf('control')[index];
  }

  /** Cuts the links of a zone, or of the leader alone. */
  private async cut({kind, victim, lastsMs}: PlannedFault): Promise<void> {
    const inside =
      kind === 'cut-leader'
        ? new Set([(await this.leader()).lives[0].name])
        : this.namesInZone(victim);
    const places = this.places.filter(each => inside.has(each.lives[0].name));
    const mend = this.network!.cut({
      inside,
      inward: kind !== 'cut-zone-outward',
      outward: kind !== 'cut-zone-inward',
    });
    places.forEach(each => this.note(each, 'cut'));
    await pause(lastsMs);
    mend();
    places.forEach(each => this.note(each, 'mended'));
  }

  /** The process at a position, or the next one that no fault has. */
  private chooseVictim(role: ChildRole, position: number): Place | undefined {
    const places = this.placesOf(role);
    const first = position % places.length;
    return [...places.slice(first), ...places.slice(0, first)].find(
      ({faulted}) => !faulted,
    );
  }

  /** Ends the processes that were started again. */
  async stop(): Promise<void> {
    for (const {lives} of this.places) {
      const current = lives.at(-1)!;
      current.signal('SIGKILL');
      await current.ended;
    }
  }

  private async kill(victim: Place, lastsMs: number): Promise<void> {
    const child = victim.lives.at(-1)!;
    if (victim.recorded !== undefined) {
      await this.saveRecord(victim.recorded);
    }
    child.signal('SIGKILL');
    await child.ended;
    this.note(victim, 'stopped');
    await pause(lastsMs);
    const args = [...child.args];
    const next = startChild(
      child.name,
      PACKAGES[victim.role],
      args,
      this.network?.variables(child.name),
    );
    victim.lives.push(next);
    await next.line(
      line => line.includes('"process-started"') || line.startsWith('ready '),
    );
    this.note(victim, 'started');
  }

  private async freeze(victim: Place, lastsMs: number): Promise<void> {
    const child = victim.lives.at(-1)!;
    child.signal('SIGSTOP');
    this.note(victim, 'frozen');
    await pause(lastsMs);
    child.signal('SIGCONT');
    this.note(victim, 'thawed');
  }

  /** The agents and targets of one zone. */
  private placesInZone(position: number): Place[] {
    const agents = this.placesOf('agent');
    const zone = this.zoneAt(position);
    return agents.flatMap((agent, index) =>
      zoneOf(agent) === zone ? [agent, this.placesOf('target')[index]] : [],
    );
  }

  private namesInZone(position: number): Set<string> {
    return this.network!.namesIn(this.zoneAt(position));
  }

  private zoneAt(position: number): string {
    const zones = [...new Set(this.placesOf('agent').map(zoneOf))];
    return zones[position % zones.length];
  }

  /** A killed target loses its record, so it is read just before. */
  private async saveRecord(recorded: RecordedTarget): Promise<void> {
    const {name: target} = recorded;
    const from = Date.now();
    const lines = await collectRecord(recorded);
    lines.forEach(line => this.record(line));
    this.record({line: 'record-lost', target, from, to: Date.now()});
  }

  private async faultEngine(
    fault: PlannedFault,
    engineFaults: object,
  ): Promise<void> {
    const engines = this.system.targets.filter(isEngine);
    const {name, url} = engines[fault.victim % engines.length];
    await fetch(`${url}/faults`, {
      method: 'POST',
      body: JSON.stringify(engineFaults),
    });
    if (fault.kind === 'leave-engine') {
      this.record({line: 'leaving', target: name, at: Date.now()});
    }
  }

  /** Records the state of a process that keeps settings in force. */
  private note({role, lives}: Place, state: LinesOf<'process'>['state']): void {
    if (role !== 'entry' && role !== 'agent') {
      return;
    }
    const process = lives[0].name;
    this.record({line: 'process', process, state, at: Date.now()});
  }

  private placesOf(role: ChildRole): Place[] {
    return this.places.filter(each => each.role === role);
  }
}

function place(
  role: ChildRole,
  child: Child,
  recorded?: RecordedTarget,
): Place {
  return {role, lives: [child], faulted: false, ...(recorded && {recorded})};
}

/** The zone that an agent was started with. */
function zoneOf({lives}: Place): string {
  const {args} = lives[0];
  return args[args.indexOf('--zone') + 1];
}

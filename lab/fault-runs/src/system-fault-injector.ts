import {setTimeout as delay} from 'node:timers/promises';
import type {HistoryLine, LinesOf} from '@marigoldspur/history';
import {startChild, type Child, type System} from '@marigoldspur/lab';
import {collectRecord, isEngine, type RecordedTarget} from './target-record.js';
import type {CutNetwork} from './cut-network.js';
import {isCut, type FaultKind, type PlannedFault} from './fault-plan.js';
import {findLeaderIndex} from './find-leader.js';

const PACKAGES = {
  control: '@marigoldspur/control-server',
  entry: '@marigoldspur/entry-server',
  agent: '@marigoldspur/agent-server',
  target: '@marigoldspur/lab',
} as const;

/** Role of a process in the system. */
export type ProcessRole = keyof typeof PACKAGES;

interface ManagedProcess {
  readonly role: ProcessRole;
  /** All incarnations of the process, the latest last. */
  readonly incarnations: Child[];
  /** Defined for targets only. */
  readonly recorded?: RecordedTarget;
  /** Whether a fault currently affects the process. */
  hasFault: boolean;
}

/** Faults that an engine stand-in produces itself, as bodies for its `/faults` path. */
const ENGINE_FAULTS: Partial<Record<FaultKind, object>> = {
  'restart-engine': {restart: true},
  'cut-answers': {cutAfterTokens: 2, cutAnswers: 3},
  'leave-engine': {leaving: true},
};

/** Options of a fault injector. */
export interface SystemFaultInjectorOptions {
  readonly system: System;
  readonly record: (line: HistoryLine) => void;
  /** Required for faults that cut links. */
  readonly network?: CutNetwork;
}

/** Injects faults into a system, undoes them and tracks every incarnation of each process. */
export class SystemFaultInjector {
  private readonly processes: ManagedProcess[];
  private readonly system: System;
  private readonly record: (line: HistoryLine) => void;
  private readonly network: CutNetwork | undefined;

  constructor({system, record, network}: SystemFaultInjectorOptions) {
    this.system = system;
    this.record = record;
    this.network = network;
    this.processes = [
      ...system.controls.map(child => toManagedProcess('control', child)),
      ...system.entries.map(child => toManagedProcess('entry', child)),
      ...system.targets.map(pair => toManagedProcess('agent', pair.agent)),
      ...system.targets.map(pair =>
        toManagedProcess('target', pair.target, pair),
      ),
    ];
  }

  /** All incarnations of all processes of a role. */
  incarnationsOf(role: ProcessRole): Child[] {
    return this.processesOf(role).flatMap(({incarnations}) => incarnations);
  }

  /** Injects a fault at its planned time and resolves once it is undone. */
  async inject(fault: PlannedFault): Promise<void> {
    await delay(fault.atMs);
    const {kind} = fault;
    this.record({line: 'fault', kind, state: 'begun', at: Date.now()});
    await this.applyFault(fault);
    this.record({line: 'fault', kind, state: 'undone', at: Date.now()});
  }

  private async applyFault(fault: PlannedFault): Promise<void> {
    const engineFaults = ENGINE_FAULTS[fault.kind];
    if (engineFaults !== undefined) {
      await this.injectEngineFault(fault, engineFaults);
      return;
    }
    if (isCut(fault.kind)) {
      await this.cutLinks(fault);
      return;
    }
    const selected = await this.selectProcesses(fault);
    selected.forEach(each => (each.hasFault = true));
    await Promise.all(
      selected.map(each =>
        fault.kind.startsWith('kill')
          ? this.killAndRestart(each, fault.durationMs)
          : this.freezeAndResume(each, fault.durationMs),
      ),
    );
    selected.forEach(each => (each.hasFault = false));
  }

  /** Selects the processes to kill or freeze; leaves out those that another fault affects. */
  private async selectProcesses(
    fault: PlannedFault,
  ): Promise<ManagedProcess[]> {
    const subject = fault.kind.split('-')[1];
    if (subject === 'zone') {
      return this.targetProcessesInZone(fault.selector).filter(
        ({hasFault}) => !hasFault,
      );
    }
    const selected =
      subject === 'leader'
        ? await this.findLeader()
        : this.selectProcess(subject as ProcessRole, fault.selector);
    return selected === undefined || selected.hasFault ? [] : [selected];
  }

  /** Finds the process of the control replica that leads; waits until there is one. */
  private async findLeader(): Promise<ManagedProcess> {
    const index = await findLeaderIndex(this.system.controlUrls);
    return this.processesOf('control')[index];
  }

  /** Cuts the links of a zone or of the leader. */
  private async cutLinks({
    kind,
    selector,
    durationMs,
  }: PlannedFault): Promise<void> {
    const inside =
      kind === 'cut-leader'
        ? new Set([(await this.findLeader()).incarnations[0].name])
        : this.namesInZone(selector);
    const processes = this.processes.filter(each =>
      inside.has(each.incarnations[0].name),
    );
    const restore = this.network!.cut({
      inside,
      blocksInward: kind !== 'cut-zone-outward',
      blocksOutward: kind !== 'cut-zone-inward',
    });
    processes.forEach(each => this.recordState(each, 'cut'));
    await delay(durationMs);
    restore();
    processes.forEach(each => this.recordState(each, 'mended'));
  }

  /** Selects the process at a position modulo their number, or the next one that no fault affects; undefined if there is none. */
  private selectProcess(
    role: ProcessRole,
    position: number,
  ): ManagedProcess | undefined {
    const processes = this.processesOf(role);
    const first = position % processes.length;
    return [...processes.slice(first), ...processes.slice(0, first)].find(
      ({hasFault}) => !hasFault,
    );
  }

  /** Kills the current incarnation of each process. */
  async stop(): Promise<void> {
    for (const {incarnations} of this.processes) {
      const current = incarnations.at(-1)!;
      current.signal('SIGKILL');
      await current.ended;
    }
  }

  private async killAndRestart(
    managed: ManagedProcess,
    durationMs: number,
  ): Promise<void> {
    const child = managed.incarnations.at(-1)!;
    if (managed.recorded !== undefined) {
      await this.saveRecord(managed.recorded);
    }
    child.signal('SIGKILL');
    await child.ended;
    this.recordState(managed, 'stopped');
    await delay(durationMs);
    const args = [...child.args];
    const next = startChild(
      child.name,
      PACKAGES[managed.role],
      args,
      this.network?.createVariables(child.name),
    );
    managed.incarnations.push(next);
    await next.waitForLine(
      line => line.includes('"process-started"') || line.startsWith('ready '),
    );
    this.recordState(managed, 'started');
  }

  private async freezeAndResume(
    managed: ManagedProcess,
    durationMs: number,
  ): Promise<void> {
    const child = managed.incarnations.at(-1)!;
    child.signal('SIGSTOP');
    this.recordState(managed, 'frozen');
    await delay(durationMs);
    child.signal('SIGCONT');
    this.recordState(managed, 'thawed');
  }

  /** The agents and targets in one zone. */
  private targetProcessesInZone(position: number): ManagedProcess[] {
    const agents = this.processesOf('agent');
    const zone = this.zoneAt(position);
    return agents.flatMap((agent, index) =>
      zoneOf(agent) === zone ? [agent, this.processesOf('target')[index]] : [],
    );
  }

  private namesInZone(position: number): Set<string> {
    return this.network!.processesInZone(this.zoneAt(position));
  }

  private zoneAt(position: number): string {
    const zones = [...new Set(this.processesOf('agent').map(zoneOf))];
    return zones[position % zones.length];
  }

  /** Reads the record of a target that is about to be killed, because the record is lost with the process. */
  private async saveRecord(recorded: RecordedTarget): Promise<void> {
    const {name: target} = recorded;
    const from = Date.now();
    const lines = await collectRecord(recorded);
    lines.forEach(line => this.record(line));
    this.record({line: 'record-lost', target, from, to: Date.now()});
  }

  private async injectEngineFault(
    fault: PlannedFault,
    engineFaults: object,
  ): Promise<void> {
    const engines = this.system.targets.filter(isEngine);
    const {name, url} = engines[fault.selector % engines.length];
    await fetch(`${url}/faults`, {
      method: 'POST',
      body: JSON.stringify(engineFaults),
    });
    if (fault.kind === 'leave-engine') {
      this.record({line: 'leaving', target: name, at: Date.now()});
    }
  }

  /** Records a state change of an entry or an agent, the processes that apply settings. */
  private recordState(
    {role, incarnations}: ManagedProcess,
    state: LinesOf<'process'>['state'],
  ): void {
    if (role !== 'entry' && role !== 'agent') {
      return;
    }
    const process = incarnations[0].name;
    this.record({line: 'process', process, state, at: Date.now()});
  }

  private processesOf(role: ProcessRole): ManagedProcess[] {
    return this.processes.filter(each => each.role === role);
  }
}

function toManagedProcess(
  role: ProcessRole,
  child: Child,
  recorded?: RecordedTarget,
): ManagedProcess {
  return {
    role,
    incarnations: [child],
    hasFault: false,
    ...(recorded && {recorded}),
  };
}

/** The zone that an agent was started in. */
function zoneOf({incarnations}: ManagedProcess): string {
  const {args} = incarnations[0];
  return args[args.indexOf('--zone') + 1];
}

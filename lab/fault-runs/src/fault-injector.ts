import {setTimeout as pause} from 'node:timers/promises';
import type {HistoryLine} from '@marigoldspur/history';
import {startChild, type Child, type System} from '@marigoldspur/lab';
import {
  collectRecord,
  isEngine,
  type RecordedTarget,
} from './collect-record.js';
import type {PlannedFault} from './fault-plan.js';

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

const CUT_TOKENS = 2;
const CUT_ANSWERS = 3;

/** Injects faults into a system and undoes them; knows every life of each process. */
export class FaultInjector {
  private readonly places: Place[];

  constructor(
    private readonly system: System,
    private readonly record: (line: HistoryLine) => void,
  ) {
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
    const [verb, noun] = fault.kind.split('-');
    if (fault.kind === 'restart-engine' || fault.kind === 'cut-answers') {
      await this.faultEngine(fault);
      return;
    }
    if (fault.kind === 'freeze-zone') {
      await this.freezeZone(fault);
      return;
    }
    const victim = this.chooseVictim(noun as ChildRole, fault.victim);
    if (victim === undefined) {
      return;
    }
    victim.faulted = true;
    if (verb === 'kill') {
      await this.kill(victim, fault.lastsMs);
    } else {
      await this.freeze(victim, fault.lastsMs);
    }
    victim.faulted = false;
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
    const args = child.process.spawnargs.slice(2);
    const next = startChild(child.name, PACKAGES[victim.role], args);
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

  /** Freezes the agents and targets of one zone at once. */
  private async freezeZone(fault: PlannedFault): Promise<void> {
    const agents = this.placesOf('agent');
    const zones = [...new Set(agents.map(zoneOf))];
    const zone = zones[fault.victim % zones.length];
    const places = agents.flatMap((agent, index) =>
      zoneOf(agent) === zone ? [agent, this.placesOf('target')[index]] : [],
    );
    await Promise.all(places.map(each => this.freeze(each, fault.lastsMs)));
  }

  /** A killed target loses its record, so it is read just before. */
  private async saveRecord(recorded: RecordedTarget): Promise<void> {
    const {name: target} = recorded;
    const from = Date.now();
    const lines = await collectRecord(recorded);
    lines.forEach(line => this.record(line));
    this.record({line: 'record-lost', target, from, to: Date.now()});
  }

  private async faultEngine(fault: PlannedFault): Promise<void> {
    const engines = this.system.targets.filter(isEngine);
    const engine = engines[fault.victim % engines.length];
    const faults =
      fault.kind === 'restart-engine'
        ? {restart: true}
        : {cutAfterTokens: CUT_TOKENS, cutAnswers: CUT_ANSWERS};
    await fetch(`${engine.url}/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
  }

  /** Records the state of a process that keeps settings in force. */
  private note(
    {role, lives}: Place,
    state: 'started' | 'stopped' | 'frozen' | 'thawed',
  ): void {
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
  const args = lives[0].process.spawnargs;
  return args[args.indexOf('--zone') + 1];
}

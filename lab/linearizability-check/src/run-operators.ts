import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {
  startLinkedControlGroup,
  type LinkedControlGroup,
} from './linked-control-group.js';
import {checkLinearizable, type Verdict} from './linearizability.js';
import {ChangeFactory, Operator, type OperatorHistory} from './operator.js';
import {
  SETTINGS_MODEL,
  type SettingsAnswer,
  type SettingsCall,
} from './settings-model.js';

/** Kind of the faults of control replicas during a run. */
export type ReplicaFaultKind = 'none' | 'kill' | 'freeze' | 'cut';

/** Options of a run of operators. */
export interface OperatorRunOptions {
  readonly replicas: number;
  readonly operators: number;
  /** Number of operations of each operator. */
  readonly operationsEach: number;
  readonly fault: ReplicaFaultKind;
  /** Maximum number of faults; none is injected after the operators have finished. */
  readonly faults: number;
  readonly seed: number;
}

/** Result of a run of operators. */
export interface OperatorRunReport {
  readonly operations: number;
  /** Number of calls without an answer. */
  readonly open: number;
  readonly accepted: number;
  readonly conflicts: number;
  readonly reads: number;
  readonly faults: number;
  readonly verdict: Verdict<SettingsCall, SettingsAnswer>;
}

const MIN_FAULT_PAUSE_MS = 100;
const MAX_FAULT_PAUSE_MS = 900;
/** Longer than an election, so that there is a new leader when a frozen leader resumes. */
const FREEZE_MS = 4_000;
const CUT_MS = 6_000;

/** Runs operators against control under faults and checks that their history is linearizable. */
export async function runOperators(
  options: OperatorRunOptions,
): Promise<OperatorRunReport> {
  const group = await startLinkedControlGroup({replicas: options.replicas});
  return runOnGroup(group, options).finally(() => group.stop());
}

async function runOnGroup(
  group: LinkedControlGroup,
  options: OperatorRunOptions,
): Promise<OperatorRunReport> {
  const history: OperatorHistory = [];
  const changes = new ChangeFactory();
  const operators = Array.from({length: options.operators}, (_, index) => {
    const operator = new Operator(
      {
        name: `operator-${index}`,
        urls: group.linkUrls,
        operations: options.operationsEach,
        random: xoroshiro128plus(options.seed * 1_000 + index),
        history,
      },
      changes,
    );
    return operator.run();
  });
  const injector = new ReplicaFaultInjector(group, options);
  const faults = injector.run();
  await Promise.all(operators);
  injector.stop();
  const count = await faults;
  const kinds = history.map(each => each.answer?.kind);
  return {
    operations: history.length,
    open: kinds.filter(kind => kind === undefined).length,
    accepted: kinds.filter(kind => kind === 'accepted').length,
    conflicts: kinds.filter(kind => kind === 'conflict').length,
    reads: kinds.filter(kind => kind === 'read').length,
    faults: count,
    verdict: checkLinearizable(SETTINGS_MODEL, history),
  };
}

/** Injects faults into random replicas of a control group at random times. */
class ReplicaFaultInjector {
  private readonly random: RandomGenerator;
  private isStopped = false;

  constructor(
    private readonly group: LinkedControlGroup,
    private readonly options: OperatorRunOptions,
  ) {
    this.random = xoroshiro128plus(options.seed);
  }

  /** Stops the injection after the current fault. */
  stop(): void {
    this.isStopped = true;
  }

  /** Injects faults until it is stopped or reaches the maximum; resolves to the number of injected faults. */
  async run(): Promise<number> {
    const {fault, faults, replicas} = this.options;
    let count = 0;
    while (fault !== 'none' && count < faults && !this.isStopped) {
      await delay(
        uniformInt(this.random, MIN_FAULT_PAUSE_MS, MAX_FAULT_PAUSE_MS),
      );
      if (this.isStopped) {
        break;
      }
      await this.injectFault(fault, uniformInt(this.random, 0, replicas - 1));
      count += 1;
    }
    return count;
  }

  private async injectFault(
    fault: ReplicaFaultKind,
    index: number,
  ): Promise<void> {
    const child = this.group.child(index);
    switch (fault) {
      case 'kill':
        child.signal('SIGKILL');
        await this.group.restart(index);
        return;
      case 'freeze':
        child.signal('SIGSTOP');
        await delay(FREEZE_MS);
        child.signal('SIGCONT');
        return;
      case 'cut': {
        const [link] = this.group.links.slice(index, index + 1);
        const forward = uniformInt(this.random, 0, 1) === 1;
        link.setState({forward, backward: false});
        await delay(CUT_MS);
        link.setState({forward: true, backward: true});
        return;
      }
      case 'none':
    }
  }
}

/** A call with its answer; the times are from a monotonic clock, in milliseconds. */
export interface Operation<Call, Answer> {
  readonly call: Call;
  readonly calledAt: number;
  /** Undefined if there was no answer: the call may have taken effect at any later time or never. */
  readonly answer?: Answer;
  readonly answeredAt?: number;
}

/** The sequential specification of the checked object. */
export interface SequentialModel<State, Call, Answer> {
  readonly initial: State;
  /** Returns the state after a call, or undefined if the answer is wrong in this state. */
  step(state: State, call: Call, answer: Answer | undefined): State | undefined;
  /** Returns a text that is equal for equal states only. */
  key(state: State): string;
}

/** Result of a check. */
export interface Verdict<Call, Answer> {
  readonly linearizable: boolean;
  /** The longest valid order of operations that was found. */
  readonly longest: ReadonlyArray<Operation<Call, Answer>>;
  /** Number of visited states. */
  readonly visited: number;
  /** Whether the limit on visited states ended the search without a verdict. */
  readonly exhausted: boolean;
}

const MAX_VISITED_STATES = 2_000_000;

/** An operation with a state: in `order` the state before the operation, as a result of `findNextFrame` the state after it. */
interface Frame<State> {
  readonly index: number;
  readonly state: State;
}

/**
 * Searches for an order of the operations that respects real time and the model
 * (Wing and Gong, 1993, with the cache of visited states of Lowe, 2017).
 */
export function checkLinearizable<State, Call, Answer>(
  model: SequentialModel<State, Call, Answer>,
  history: ReadonlyArray<Operation<Call, Answer>>,
): Verdict<Call, Answer> {
  const operations = [...history].sort((a, b) => a.calledAt - b.calledAt);
  const search = new Search(model, operations);
  return search.run();
}

class Search<State, Call, Answer> {
  private readonly done: boolean[];
  private readonly order: Array<Frame<State>> = [];
  private readonly visitedStates = new Set<string>();
  private longest: number[] = [];
  private readonly answeredCount: number;
  private answeredDoneCount = 0;

  constructor(
    private readonly model: SequentialModel<State, Call, Answer>,
    private readonly operations: ReadonlyArray<Operation<Call, Answer>>,
  ) {
    this.done = operations.map(() => false);
    this.answeredCount = operations.filter(isAnswered).length;
  }

  run(): Verdict<Call, Answer> {
    let state = this.model.initial;
    let from = 0;
    for (;;) {
      if (this.answeredDoneCount === this.answeredCount) {
        return this.createVerdict(true, false);
      }
      if (this.visitedStates.size > MAX_VISITED_STATES) {
        return this.createVerdict(false, true);
      }
      const step = this.findNextFrame(state, from);
      if (step !== undefined) {
        this.order.push({index: step.index, state});
        this.setDone(step.index, true);
        state = step.state;
        from = 0;
        if (this.order.length > this.longest.length) {
          this.longest = this.order.map(frame => frame.index);
        }
        continue;
      }
      const removed = this.order.pop();
      if (removed === undefined) {
        return this.createVerdict(false, false);
      }
      this.setDone(removed.index, false);
      state = removed.state;
      from = removed.index + 1;
    }
  }

  /** Returns the first operation from an index on that can come next and leads to a state not visited yet. */
  private findNextFrame(state: State, from: number): Frame<State> | undefined {
    const latestCallAt = this.findEarliestPendingAnswer();
    for (let index = 0; index < this.operations.length; index += 1) {
      const operation = this.operations[index];
      if (operation.calledAt > latestCallAt) {
        return undefined;
      }
      if (index < from || this.done[index]) {
        continue;
      }
      const nextState = this.model.step(
        state,
        operation.call,
        operation.answer,
      );
      if (nextState !== undefined && this.markVisited(index, nextState)) {
        return {index, state: nextState};
      }
    }
    return undefined;
  }

  /** Time of the earliest answer to a pending operation; an operation can come next only if it was called by then. */
  private findEarliestPendingAnswer(): number {
    let earliest = Infinity;
    this.operations.forEach((operation, index) => {
      if (!this.done[index] && operation.answeredAt !== undefined) {
        earliest = Math.min(earliest, operation.answeredAt);
      }
    });
    return earliest;
  }

  /** Records a state as visited; returns false if it was visited before. */
  private markVisited(index: number, state: State): boolean {
    this.done[index] = true;
    const doneBits = this.done.map(isDone => (isDone ? '1' : '0')).join('');
    this.done[index] = false;
    const key = `${doneBits}|${this.model.key(state)}`;
    if (this.visitedStates.has(key)) {
      return false;
    }
    this.visitedStates.add(key);
    return true;
  }

  private setDone(index: number, isDone: boolean): void {
    this.done[index] = isDone;
    if (isAnswered(this.operations[index])) {
      this.answeredDoneCount += isDone ? 1 : -1;
    }
  }

  private createVerdict(
    isLinearizable: boolean,
    isExhausted: boolean,
  ): Verdict<Call, Answer> {
    return {
      linearizable: isLinearizable,
      exhausted: isExhausted,
      longest: this.longest.map(index => this.operations[index]),
      visited: this.visitedStates.size,
    };
  }
}

function isAnswered(operation: Operation<unknown, unknown>): boolean {
  return operation.answeredAt !== undefined;
}

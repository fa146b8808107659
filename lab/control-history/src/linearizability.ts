/** One call with its answer, in the order of some steady clock. */
export interface Operation<Call, Answer> {
  readonly call: Call;
  readonly calledAt: number;
  /** Absent where no answer came: the call may have taken effect at any later time, or never. */
  readonly answer?: Answer;
  readonly answeredAt?: number;
}

/** What the checked object should do, one call at a time. */
export interface SequentialModel<State, Call, Answer> {
  readonly initial: State;
  /** The state after a call, or undefined where the answer is not right in this state. */
  step(state: State, call: Call, answer: Answer | undefined): State | undefined;
  /** Text that is equal for equal states. */
  key(state: State): string;
}

/** What a check found. */
export interface Verdict<Call, Answer> {
  readonly linearizable: boolean;
  /** The longest order of operations that was found. */
  readonly longest: ReadonlyArray<Operation<Call, Answer>>;
  /** States that were visited. */
  readonly visited: number;
  /** True where the bound on visited states ended the search without a verdict. */
  readonly exhausted: boolean;
}

const MAX_VISITED = 2_000_000;

interface Frame<State> {
  readonly index: number;
  readonly state: State;
}

/**
 * Searches an order of the operations that respects real time and the model
 * (Wing and Gong, 1993, with the memory of visited states of Lowe, 2017).
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
  private readonly seen = new Set<string>();
  private longest: number[] = [];
  private readonly required: number;
  private answered = 0;

  constructor(
    private readonly model: SequentialModel<State, Call, Answer>,
    private readonly operations: ReadonlyArray<Operation<Call, Answer>>,
  ) {
    this.done = operations.map(() => false);
    this.required = operations.filter(isAnswered).length;
  }

  run(): Verdict<Call, Answer> {
    let state = this.model.initial;
    let from = 0;
    for (;;) {
      if (this.answered === this.required) {
        return this.verdict(true, false);
      }
      if (this.seen.size > MAX_VISITED) {
        return this.verdict(false, true);
      }
      const step = this.next(state, from);
      if (step !== undefined) {
        this.order.push({index: step.index, state});
        this.mark(step.index, true);
        state = step.state;
        from = 0;
        if (this.order.length > this.longest.length) {
          this.longest = this.order.map(frame => frame.index);
        }
        continue;
      }
      const undone = this.order.pop();
      if (undone === undefined) {
        return this.verdict(false, false);
      }
      this.mark(undone.index, false);
      state = undone.state;
      from = undone.index + 1;
    }
  }

  /** The next operation that may come now, from an index on, and leads to an unseen state. */
  private next(state: State, from: number): Frame<State> | undefined {
    const horizon = this.firstAnswer();
    for (let index = 0; index < this.operations.length; index += 1) {
      const operation = this.operations[index];
      if (operation.calledAt > horizon) {
        return undefined;
      }
      if (index < from || this.done[index]) {
        continue;
      }
      const next = this.model.step(state, operation.call, operation.answer);
      if (next !== undefined && this.isNew(index, next)) {
        return {index, state: next};
      }
    }
    return undefined;
  }

  /** An operation may come next only if no other one was answered before its call. */
  private firstAnswer(): number {
    let first = Infinity;
    this.operations.forEach((operation, index) => {
      if (!this.done[index] && operation.answeredAt !== undefined) {
        first = Math.min(first, operation.answeredAt);
      }
    });
    return first;
  }

  private isNew(index: number, state: State): boolean {
    this.done[index] = true;
    const marks = this.done.map(mark => (mark ? '1' : '0')).join('');
    this.done[index] = false;
    const key = `${marks}|${this.model.key(state)}`;
    if (this.seen.has(key)) {
      return false;
    }
    this.seen.add(key);
    return true;
  }

  private mark(index: number, done: boolean): void {
    this.done[index] = done;
    if (isAnswered(this.operations[index])) {
      this.answered += done ? 1 : -1;
    }
  }

  private verdict(
    linearizable: boolean,
    exhausted: boolean,
  ): Verdict<Call, Answer> {
    return {
      linearizable,
      exhausted,
      longest: this.longest.map(index => this.operations[index]),
      visited: this.seen.size,
    };
  }
}

function isAnswered(operation: Operation<unknown, unknown>): boolean {
  return operation.answeredAt !== undefined;
}

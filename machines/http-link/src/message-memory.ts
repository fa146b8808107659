import {MemoryBudget, UNLIMITED} from '@marigoldspur/memory-budget';
import {BodyReader} from '@marigoldspur/request-bodies';

/** Limits the memory that the messages of other processes and their answers take together. */
export interface MessageMemory {
  readonly bodies: Pick<BodyReader, 'read'>;
  readonly memory: Pick<MemoryBudget, 'reserve'>;
}

/** Creates a memory without a limit. */
export function createUnlimitedMemory(): MessageMemory {
  const memory = new MemoryBudget({limit: UNLIMITED, heapBytes: () => 0});
  return {memory, bodies: new BodyReader({budget: memory, kind: 'message'})};
}

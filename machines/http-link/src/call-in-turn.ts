/** Calls in one turn of the event loop; further ones wait for the next turns. */
const MAX_CALLS_PER_TURN = 4;

const waiting = new Set<() => void>();
let isScheduled = false;

/**
 * Calls a function in one of the next turns of the event loop, in the order of these requests, so that
 * the calls leave time to others. Returns a function that cancels the call.
 */
export function callInTurn(call: () => void): () => void {
  waiting.add(call);
  schedule();
  return () => waiting.delete(call);
}

function schedule(): void {
  if (waiting.size > 0 && !isScheduled) {
    isScheduled = true;
    setImmediate(runTurn);
  }
}

function runTurn(): void {
  isScheduled = false;
  const calls = [...waiting].slice(0, MAX_CALLS_PER_TURN);
  calls.forEach(call => waiting.delete(call));
  schedule();
  calls.forEach(call => call());
}

import {toFault, type Fault} from '@marigoldspur/faults';

/** Options of a guarded handler. */
export interface GuardOptions {
  /** Ends what the handler serves; must not throw. */
  readonly onFault: (fault: Fault) => void;
}

/**
 * Wraps a handler that serves one request, connection or stream. An error that it throws, or
 * that its promise rejects with, ends only what it serves and not the process.
 */
export function guard<Args extends readonly unknown[]>(
  handler: (...args: Args) => unknown,
  {onFault}: GuardOptions,
): (...args: Args) => void {
  return (...args) => {
    try {
      const result = handler(...args);
      if (result instanceof Promise) {
        result.catch(thrown => onFault(toFault(thrown)));
      }
    } catch (thrown) {
      onFault(toFault(thrown));
    }
  };
}

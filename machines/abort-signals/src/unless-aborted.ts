/** Resolves to the outcome of `work`, or to undefined as soon as `signal` aborts. */
export async function unlessAborted<Outcome>(
  work: Promise<Outcome>,
  signal: AbortSignal,
): Promise<Outcome | undefined> {
  if (signal.aborted) {
    return undefined;
  }
  let abort: (() => void) | undefined;
  const aborted = new Promise<undefined>(resolve => {
    abort = () => resolve(undefined);
    signal.addEventListener('abort', abort);
  });
  try {
    return await Promise.race([work, aborted]);
  } finally {
    signal.removeEventListener('abort', abort!);
  }
}

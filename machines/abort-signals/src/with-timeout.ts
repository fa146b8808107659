/** Resolves to the outcome of `work`, or to that of `onTimeout` after `timeoutMs` milliseconds. */
export async function withTimeout<Outcome>(
  work: Promise<Outcome>,
  timeoutMs: number,
  onTimeout: () => Outcome,
): Promise<Outcome> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Outcome>(resolve => {
    timer = setTimeout(() => resolve(onTimeout()), timeoutMs);
  });
  try {
    return await Promise.race([work, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

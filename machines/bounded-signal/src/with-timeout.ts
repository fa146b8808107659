/** The outcome of `work`, or that of `late` once `timeoutMs` milliseconds are over. */
export async function withTimeout<Outcome>(
  work: Promise<Outcome>,
  timeoutMs: number,
  late: () => Outcome,
): Promise<Outcome> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Outcome>(resolve => {
    timer = setTimeout(() => resolve(late()), timeoutMs);
  });
  try {
    return await Promise.race([work, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/**
 * Resolves after the event loop has polled once more, so that the sockets that had been closed
 * before have told so.
 */
export async function afterPoll(): Promise<void> {
  // The first one resolves right after the poll that is running now.
  await nextCheck();
  await nextCheck();
}

function nextCheck(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

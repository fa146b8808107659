import type http from 'node:http';

/**
 * Calls `onHead` once, when the head of a response is written, with whether the connection stays
 * open behind the response.
 */
export function onResponseHead(
  response: http.ServerResponse,
  onHead: (keepsConnection: boolean) => void,
): void {
  const writeHead = response.writeHead;
  // Node.js also calls this for a head that it writes with the first bytes of the body.
  response.writeHead = function (
    this: http.ServerResponse,
    ...args: unknown[]
  ) {
    response.writeHead = writeHead;
    Reflect.apply(writeHead, response, args);
    onHead(!isLast(response));
    return response;
  } as typeof response.writeHead;
}

/** Whether Node.js closes the connection after a response whose head has been written. */
function isLast(response: http.ServerResponse): boolean {
  // No public property tells it: it depends on the request's headers, and on the framing as well.
  const {_last = false} = response as {_last?: boolean};
  return _last;
}

import http from 'node:http';

const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Why headers cannot be sent; undefined if they can. The HTTP parser accepts some names and
 * values that must not be sent, such as names with a space.
 */
export function findInvalidHeader(
  headers: http.OutgoingHttpHeaders,
): string | undefined {
  try {
    for (const name of Object.keys(headers)) {
      const value = headers[name];
      http.validateHeaderName(name);
      for (const each of Array.isArray(value) ? value : [value]) {
        http.validateHeaderValue(name, String(each));
      }
    }
    return undefined;
  } catch (thrown) {
    return (thrown as Error).message;
  }
}

/**
 * Why the head of a response cannot be forwarded; undefined if it can. The HTTP parser accepts
 * any status of three digits.
 */
export function findInvalidHead({
  headers,
  statusCode = 0,
}: Pick<http.IncomingMessage, 'headers' | 'statusCode'>): string | undefined {
  return statusCode < MIN_STATUS || statusCode > MAX_STATUS
    ? `no response has status ${String(statusCode).padStart(3, '0')}`
    : findInvalidHeader(headers);
}

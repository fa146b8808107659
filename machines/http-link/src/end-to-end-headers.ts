/** Headers of a single connection (RFC 9110, 7.6.1), and the length, which each hop sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Values of the `Connection` header that name no other header. */
const OPTIONS_WITHOUT_HEADER: ReadonlySet<string> = new Set([
  'keep-alive',
  'close',
  '',
]);

/** Prefix of the headers between processes of the system, which no caller or target may set. */
const SYSTEM_HEADER_PREFIX = 'x-marigoldspur-';

/** Options that determine which further headers are dropped. */
export interface EndToEndHeaderOptions {
  /** Value of the message's `Connection` header. */
  readonly connection: string | undefined;
  /** Names of further headers to drop, in lower case. */
  readonly dropped?: ReadonlySet<string>;
}

/** Returns the headers of a message that may be forwarded to the next hop; names are in lower case. */
export function endToEndHeaders<Value>(
  headers: Readonly<Record<string, Value | undefined>>,
  options: EndToEndHeaderOptions,
): Record<string, Value> {
  const connectionHeaders = headersNamedByConnection(options.connection);
  const kept: Record<string, Value> = {};
  for (const name of Object.keys(headers)) {
    const value = headers[name];
    const isDropped =
      value === undefined ||
      CONNECTION_HEADERS.has(name) ||
      name.startsWith(SYSTEM_HEADER_PREFIX) ||
      options.dropped?.has(name) === true ||
      connectionHeaders?.has(name) === true;
    if (!isDropped) {
      kept[name] = value;
    }
  }
  return kept;
}

function headersNamedByConnection(
  connection: string | undefined,
): ReadonlySet<string> | undefined {
  const options = (connection ?? '').toLowerCase();
  return OPTIONS_WITHOUT_HEADER.has(options)
    ? undefined
    : new Set(options.split(',').map(name => name.trim()));
}

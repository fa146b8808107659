/** Headers that belong to one connection only (RFC 9110, 7.6.1), and the length, which each hop states anew. */
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

/** `Connection` options that name no further header. */
const PLAIN_OPTIONS: ReadonlySet<string> = new Set(['keep-alive', 'close', '']);

/** Headers of the system's own hops, which no caller or target may set. */
const OWN_PREFIX = 'x-marigoldspur-';

/** What is dropped besides the headers of the connection. */
export interface EndToEndHeaderOptions {
  /** Value of the message's `Connection` header. */
  readonly connection: string | undefined;
  /** Names of further headers that end here, in lower case. */
  readonly dropped?: ReadonlySet<string>;
}

/** The headers of a message that may go on to the next hop; names are in lower case. */
export function endToEndHeaders<Value>(
  headers: Readonly<Record<string, Value | undefined>>,
  options: EndToEndHeaderOptions,
): Record<string, Value> {
  const ofConnection = namedByConnection(options.connection);
  const kept: Record<string, Value> = {};
  for (const name of Object.keys(headers)) {
    const value = headers[name];
    const ends =
      value === undefined ||
      CONNECTION_HEADERS.has(name) ||
      name.startsWith(OWN_PREFIX) ||
      options.dropped?.has(name) === true ||
      ofConnection?.has(name) === true;
    if (!ends) {
      kept[name] = value;
    }
  }
  return kept;
}

function namedByConnection(
  connection: string | undefined,
): ReadonlySet<string> | undefined {
  const options = (connection ?? '').toLowerCase();
  return PLAIN_OPTIONS.has(options)
    ? undefined
    : new Set(options.split(',').map(name => name.trim()));
}

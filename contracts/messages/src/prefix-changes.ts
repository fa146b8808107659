/** A prompt prefix that a target added to its cache or removed from it. */
export interface PrefixChange {
  /** Key of the prefix, as in `PREFIX_KEY_PATTERN`. */
  readonly key: string;
  /** Whether the target added the prefix; false if it removed it. */
  readonly held: boolean;
}

/** Changes of a target's prefix cache, as its agent reports them. */
export interface PrefixChanges {
  /** Boot ID of the target. */
  readonly boot: string;
  /** The latest changes, oldest first. */
  readonly changes: readonly PrefixChange[];
}

/** Format of the key of a prompt prefix. */
export const PREFIX_KEY_PATTERN = /^[\w-]{12}$/;
/** Maximum number of changes that one response reports. */
export const MAX_PREFIX_CHANGES = 16;

const CHANGES_PATTERN = /^(\S{1,64})((?: [+-][\w-]{12}){1,16})$/;

/** Formats changes as a header value. */
export function formatPrefixChanges({boot, changes}: PrefixChanges): string {
  const words = changes.map(({key, held}) => `${held ? '+' : '-'}${key}`);
  return [boot, ...words].join(' ');
}

/** Parses changes from a header value; undefined if it is malformed. */
export function parsePrefixChanges(text: unknown): PrefixChanges | undefined {
  const match = typeof text === 'string' ? CHANGES_PATTERN.exec(text) : null;
  if (match === null) {
    return undefined;
  }
  const [, boot, rest] = match;
  const words = rest.trim().split(' ');
  const changes = words.map(word => ({
    key: word.slice(1),
    held: word.startsWith('+'),
  }));
  return {boot, changes};
}

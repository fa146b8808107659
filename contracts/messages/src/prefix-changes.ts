/** A prompt prefix that a target stored in its cache or dropped from it. */
export interface PrefixChange {
  readonly key: string;
  readonly held: boolean;
}

/** What an agent tells of the prefix cache beside it. */
export interface PrefixChanges {
  /** Boot identity of the target. */
  readonly boot: string;
  /** The latest changes, oldest first. */
  readonly changes: readonly PrefixChange[];
}

/** Form of the key of a prompt prefix. */
export const PREFIX_KEY_PATTERN = /^[\w-]{12}$/;
/** Changes that one answer tells at most. */
export const MAX_PREFIX_CHANGES = 16;

const CHANGES_PATTERN = /^(\S{1,64})((?: [+-][\w-]{12}){1,16})$/;

/** Writes changes as the text of a header. */
export function formatPrefixChanges({boot, changes}: PrefixChanges): string {
  const words = changes.map(({key, held}) => `${held ? '+' : '-'}${key}`);
  return [boot, ...words].join(' ');
}

/** Reads changes from the text of a header; undefined where it is none. */
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

import type {Socket} from 'node:net';

/** The part of the HTTP parser of a connection that creates requests. */
interface Parser {
  onIncoming?: unknown;
}

/** Result of `onIncoming` after which the parser reads nothing more of a piece of input. */
const STOP = 2;

/**
 * Creates no further requests from what a connection sends. Node.js creates one for each that a
 * piece of 64 KiB holds, some 1,300, also after the connection was paused or destroyed, and has no
 * public way to stop that.
 */
export function stopParsing(socket: Socket): void {
  const {parser} = socket as Socket & {parser?: Parser | null};
  if (parser !== undefined && parser !== null) {
    parser.onIncoming = () => STOP;
  }
}

import type {Socket} from 'node:net';

/** The connections of a server; those without a complete request give way to new ones. */
export class ConnectionTable {
  private readonly all = new Set<Socket>();
  /** Connections that have brought no complete request, the oldest first. */
  private readonly unproven = new Set<Socket>();

  get size(): number {
    return this.all.size;
  }

  /**
   * Adds a connection to a server that may have `maxCount`. Returns the one that has to be closed
   * for it: the oldest without a complete request, or itself if there is no other.
   */
  add(socket: Socket, maxCount: number): Socket | undefined {
    this.all.add(socket);
    const [oldest] = this.unproven;
    this.unproven.add(socket);
    if (this.all.size <= maxCount) {
      return undefined;
    }
    const closed = oldest ?? socket;
    this.remove(closed);
    return closed;
  }

  /** Records that a connection has brought a complete request. */
  recordRequest(socket: Socket): void {
    this.unproven.delete(socket);
  }

  remove(socket: Socket): void {
    this.all.delete(socket);
    this.unproven.delete(socket);
  }
}

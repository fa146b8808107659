/*
 * Loaded into a process of a trial with `node --import`, this module sends its
 * connections to some ports of loopback to other ports: through cut links of its own.
 */
import net from 'node:net';

/** Environment variable that holds the other ports by port, as JSON. */
const REDIRECT_VARIABLE = 'MARIGOLDSPUR_LAB_REDIRECT';

type Connect = (this: net.Socket, ...args: unknown[]) => net.Socket;

const ports = JSON.parse(process.env[REDIRECT_VARIABLE] ?? '{}') as Record<
  string,
  number
>;
const prototype = net.Socket.prototype as unknown as {connect: Connect};
const {connect} = prototype;

prototype.connect = function (...args) {
  // Node's own callers pass their arguments normalized, as one array.
  const normalized = Array.isArray(args[0]) ? args[0] : args;
  const [options] = normalized as Array<{port?: number | string}>;
  const port = ports[String(options?.port)];
  if (port !== undefined) {
    // The caller's own options stay: a pool of connections names them by their port.
    normalized[0] = {...options, port};
  }
  return connect.apply(this, args);
};

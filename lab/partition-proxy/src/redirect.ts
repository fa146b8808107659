/*
 * Redirects the connections of a process to some loopback ports to other ports, such as
 * those of partition proxies. Load it with `node --import`.
 */
import net from 'node:net';

/** Environment variable with a JSON object that maps each port to its replacement. */
const REDIRECT_VARIABLE = 'MARIGOLDSPUR_LAB_REDIRECT';

type Connect = (this: net.Socket, ...args: unknown[]) => net.Socket;

const ports = JSON.parse(process.env[REDIRECT_VARIABLE] ?? '{}') as Record<
  string,
  number
>;
const prototype = net.Socket.prototype as unknown as {connect: Connect};
const {connect} = prototype;

prototype.connect = function (...args) {
  // Internal callers in Node.js pass their normalized arguments as one array.
  const normalizedArgs = Array.isArray(args[0]) ? args[0] : args;
  const [options] = normalizedArgs as Array<{port?: number | string}>;
  const port = ports[String(options?.port)];
  if (port !== undefined) {
    // Copies the caller's options, because connection pools derive their keys from the port in them.
    normalizedArgs[0] = {...options, port};
  }
  return connect.apply(this, args);
};

import http from 'node:http';
import net from 'node:net';
import {listen} from '@marigoldspur/http-link';
import type {StandIn} from './stand-in.js';

/** Options of a balancer stand-in. */
export interface BalancerOptions {
  readonly port: number;
  /** Base URLs of the caller ports of the entries. */
  readonly entries: readonly string[];
  /** Interval between readiness checks, which is also their timeout, in milliseconds. */
  readonly checkMs: number;
}

/** Starts a stand-in for the platform's load balancer: TCP, round robin over ready entries. */
export async function startBalancer(
  options: BalancerOptions,
): Promise<StandIn> {
  const readyEntries = new Set<string>();
  /** Entries that were ready until their last check timed out. */
  const unresponsiveEntries = new Set<string>();
  let nextIndex = 0;
  const checkReadiness = () =>
    options.entries.forEach(entry => {
      const call = http.get(
        `${entry}/readyz`,
        {timeout: options.checkMs},
        response => {
          response.resume();
          unresponsiveEntries.delete(entry);
          if (response.statusCode === 200) {
            readyEntries.add(entry);
          } else {
            readyEntries.delete(entry);
          }
        },
      );
      let hasTimedOut = false;
      call.on('timeout', () => {
        hasTimedOut = true;
        call.destroy();
      });
      call.on('error', () => {
        if (hasTimedOut && readyEntries.has(entry)) {
          unresponsiveEntries.add(entry);
        } else if (!hasTimedOut) {
          unresponsiveEntries.delete(entry);
        }
        readyEntries.delete(entry);
      });
    });
  const server = net.createServer({allowHalfOpen: true}, caller => {
    // When no entry is ready, uses the unresponsive ones, as platform load balancers do.
    const entries = [
      ...(readyEntries.size > 0 ? readyEntries : unresponsiveEntries),
    ].sort();
    if (entries.length === 0) {
      caller.destroy();
      return;
    }
    const {hostname, port} = new URL(entries[nextIndex % entries.length]);
    nextIndex += 1;
    const entry = net.connect({
      host: hostname,
      port: Number(port),
      allowHalfOpen: true,
    });
    caller.pipe(entry);
    entry.pipe(caller);
    caller.on('error', () => entry.destroy());
    entry.on('error', () => caller.destroy());
    caller.on('close', () => entry.destroy());
    entry.on('close', () => caller.destroy());
  });
  const timer = setInterval(checkReadiness, options.checkMs);
  checkReadiness();
  const address = await listen(server, {host: '127.0.0.1', port: options.port});
  return {
    url: `http://${address.host}:${address.port}`,
    stop: async () => {
      clearInterval(timer);
      server.close();
    },
  };
}

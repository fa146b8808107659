import http from 'node:http';
import net from 'node:net';
import {listen} from '@marigoldspur/http-link';
import type {StandIn} from './stand-in.js';

/** Options of a balancer stand-in. */
export interface BalancerOptions {
  readonly port: number;
  /** Base URLs of the entries' caller ports. */
  readonly entries: readonly string[];
  /** Time between readiness checks, in milliseconds. */
  readonly checkMs: number;
}

/** Starts a stand-in for the platform's balancer: TCP, round robin over ready entries. */
export async function startBalancer(
  options: BalancerOptions,
): Promise<StandIn> {
  const ready = new Set<string>();
  /** Entries that were ready before and whose last check had no answer in time. */
  const silent = new Set<string>();
  let next = 0;
  const check = () =>
    options.entries.forEach(entry => {
      const call = http.get(
        `${entry}/readyz`,
        {timeout: options.checkMs},
        answer => {
          answer.resume();
          silent.delete(entry);
          if (answer.statusCode === 200) {
            ready.add(entry);
          } else {
            ready.delete(entry);
          }
        },
      );
      let late = false;
      call.on('timeout', () => {
        late = true;
        call.destroy();
      });
      call.on('error', () => {
        if (late && ready.has(entry)) {
          silent.add(entry);
        } else if (!late) {
          silent.delete(entry);
        }
        ready.delete(entry);
      });
    });
  const server = net.createServer({allowHalfOpen: true}, caller => {
    // Like balancers of platforms, it does not close all doors when all entries are slow.
    const entries = [...(ready.size > 0 ? ready : silent)].sort();
    if (entries.length === 0) {
      caller.destroy();
      return;
    }
    const {hostname, port} = new URL(entries[next % entries.length]);
    next += 1;
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
  const timer = setInterval(check, options.checkMs);
  check();
  const address = await listen(server, {host: '127.0.0.1', port: options.port});
  return {
    url: `http://${address.host}:${address.port}`,
    stop: async () => {
      clearInterval(timer);
      server.close();
    },
  };
}

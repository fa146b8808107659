/* global Buffer, clearTimeout, performance, process, setTimeout */
/* Starts the programs of the deploy file at loopback addresses, and the clients, servers and
 * operator calls that the review scripts share. It uses Node.js alone. */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '..');
/** Number of internal ports of each machine; the ports of its listeners follow them. */
const INTERNAL_PORTS = 16;
const LISTENER_PORTS = 8;

export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_UNRUN = 2;

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));
export const now = () => performance.now();

/** The commands of the deploy file, by role. */
function readCommands() {
  const commands = {};
  let role;
  for (const line of readFileSync(
    path.join(ROOT, 'deploy/system.toml'),
    'utf8',
  ).split('\n')) {
    role = /^\[roles\.(.+)\]$/.exec(line.trim())?.[1] ?? role;
    const run = /^run = "(.+)"$/.exec(line.trim())?.[1];
    if (role !== undefined && run !== undefined) {
      commands[role] = run.split(' ');
    }
  }
  return commands;
}

/** Writes what a case sent, got and ran to the file of its record. */
export class Recorder {
  constructor(file) {
    this.file = file;
    this.startedAt = now();
    writeFileSync(this.file, '');
  }

  add(text) {
    const seconds = ((now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.file, `${seconds} ${text}\n`);
  }
}

/** A small deployment of real processes, each machine at a loopback address of its own. */
export class Deployment {
  constructor(recorder, options = {}) {
    this.recorder = recorder;
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.commands = readCommands();
    this.machines = new Map();
    this.zones = options.zones ?? {'zone-a': 'region'};
    this.bounds = {
      seedLagS: 3,
      reuseAfterS: 2,
      contactMs: 3000,
      ackTimeoutMs: 4000,
      catchUpS: 4,
      drainMs: 2000,
      graceS: 8,
      lossSlackMs: 200,
      configApplyMs: 2000,
      rollbackSlackMs: 250,
      maxStretchMs: 5000,
      retryBudgetRatio: 0.2,
      retryWindowS: 10,
      retrySlack: 58,
      recoveryS: 12,
      passMs: 120,
      retryAfterS: 0,
      fencingRequired: true,
      leaseMs: 3000,
      thawSlackMs: 300,
      ceilingWindowS: 5,
      ceilingOverrun: 1.1,
      version_ms: 5000,
    };
  }

  async choosePorts() {
    for (;;) {
      const first = 10_000 + Math.floor(Math.random() * 20_000);
      const ports = Array.from(
        {length: INTERNAL_PORTS + LISTENER_PORTS},
        (_, i) => first + i,
      );
      const free = await Promise.all(ports.map(isPortFree));
      if (free.every(Boolean)) {
        this.firstPort = first;
        return;
      }
    }
  }

  controlAddress(ip) {
    return `${ip}:${this.firstPort + INTERNAL_PORTS}`;
  }

  callerAddress(ip) {
    return `${ip}:${this.firstPort + INTERNAL_PORTS + 1}`;
  }

  readinessAddress(ip) {
    return `${ip}:${this.firstPort + INTERNAL_PORTS + 2}`;
  }

  /** Starts a role of the deploy file; a machine keeps its data folder over restarts. */
  start(role, name, ip, {seeds, bootstrap = false, app, memoryMb = 350} = {}) {
    const serves = {entry: 'edge', control: 'control_plane', agent: 'side'}[
      role
    ];
    const listen = {
      entry: {
        frontend: this.callerAddress(ip),
        readiness: this.readinessAddress(ip),
      },
      control: {controlPlane: this.controlAddress(ip)},
      agent: {},
    }[role];
    const settings = {
      nodeName: name,
      role,
      machineClass: {entry: 'edge', control: 'core', agent: 'side'}[role],
      serves: [serves],
      ip,
      zone: 'zone-a',
      region: 'region',
      internalPorts: [this.firstPort, this.firstPort + INTERNAL_PORTS - 1],
      seeds: seeds.map(seed => this.controlAddress(seed)),
      bootstrap,
      countsAsLoss: role === 'control',
      discovery: 'registration',
      entry: 'vip',
      heartbeatMs: 1200,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'fleet',
        'stream',
        'engine',
      ],
      configMode: 'highest',
      zones: this.zones,
      listen,
      limits: {
        cpuShare: 1,
        cores: 1,
        memoryMb,
        maxFds: 4096,
        linkMbps: 1000,
        diskMb: 128,
      },
      faultTolerance: {machines: 1, zones: 0, regions: 0},
      bounds: this.bounds,
      ...(app && {app}),
      ...(role === 'control' && {dataDir: path.join(this.folder, name)}),
    };
    const file = path.join(this.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = this.commands[role];
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        MARIGOLDSPUR_BOOT: file,
      },
    });
    const machine = {
      role,
      name,
      ip,
      child,
      startedAt: now(),
      lines: [],
      errors: '',
      options: {seeds, app, memoryMb},
      exit: undefined,
    };
    let rest = '';
    child.stdout.on('data', piece => {
      const lines = (rest + piece).split('\n');
      rest = lines.pop();
      machine.lines.push(...lines);
    });
    child.stderr.on('data', piece => {
      machine.errors = (machine.errors + piece).slice(-4_000);
    });
    machine.exited = new Promise(resolve =>
      child.on('exit', (code, signal) => {
        machine.exit = {code, signal, at: now()};
        this.recorder.add(
          `process ${name} ended: code ${code}, signal ${signal}`,
        );
        resolve(machine.exit);
      }),
    );
    this.machines.set(name, machine);
    this.recorder.add(
      `process ${name} started: ${this.commands[role].join(' ')}`,
    );
    return machine;
  }

  /** Sends a signal to a process that this deployment started. */
  signal(name, signal) {
    this.recorder.add(`signal ${signal} to ${name}`);
    this.machines.get(name).child.kill(signal);
  }

  /** Starts a program that has ended anew on its machine. */
  restart(name) {
    const {role, ip, options} = this.machines.get(name);
    return this.start(role, name, ip, options);
  }

  /** Calls a control host; undefined if it does not answer within a second. */
  async callControl(ip, method, target, body) {
    const text =
      body === undefined
        ? undefined
        : typeof body === 'string'
          ? body
          : JSON.stringify(body);
    return exchange({
      address: this.controlAddress(ip),
      method,
      path: target,
      headers: {'content-type': 'application/json'},
      body: text,
      timeoutMs: text !== undefined && text.length > 100_000 ? 5_000 : 1_000,
    });
  }

  /** Sends a configuration to control hosts in turn until one acknowledges it, as an operator does. */
  async replaceConfiguration(hosts, configuration, tries = 200) {
    const text = JSON.stringify(configuration);
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const ip = hosts[attempt % hosts.length];
      const answer = await this.callControl(
        ip,
        'POST',
        '/marigoldspur/config/replace',
        text,
      );
      if (answer.status === 200) {
        this.recorder.add(
          `configuration ${configuration.version} (${text.length} bytes) acknowledged by ${ip}`,
        );
        return ip;
      }
      if (answer.status >= 400 && answer.status < 500) {
        throw new Error(
          `configuration refused: ${answer.status} ${answer.body}`,
        );
      }
      await pause(100);
    }
    throw new Error('no control host acknowledged the configuration');
  }

  async waitUntilReady(ip, limitMs = 20_000) {
    const until = now() + limitMs;
    while (now() < until) {
      const answer = await exchange({
        address: this.readinessAddress(ip),
        method: 'GET',
        path: '/marigoldspur/readyz',
        timeoutMs: 500,
      });
      if (answer.status === 200) {
        return;
      }
      await pause(50);
    }
    throw new Error(`entry at ${ip} is not ready`);
  }

  async stop() {
    for (const {child, exit} of this.machines.values()) {
      if (exit === undefined) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    }
    await Promise.all(
      [...this.machines.values()].map(machine => machine.exited),
    );
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function isPortFree(port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.on('error', () => resolve(false));
    server.listen(port, '0.0.0.0', () => server.close(() => resolve(true)));
  });
}

/** Sends one request on a connection of its own, and reads the answer to its end. */
export function exchange({
  address,
  method,
  path: target,
  headers = {},
  body,
  timeoutMs,
  onSent,
}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.request({
      host,
      port,
      method,
      path: target,
      agent: false,
      headers: {
        ...headers,
        ...(body !== undefined && {'content-length': Buffer.byteLength(body)}),
      },
    });
    const timer =
      timeoutMs &&
      setTimeout(() => request.destroy(new Error('timeout')), timeoutMs);
    const end = answer => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on('error', error =>
      end({
        status: 0,
        error: error.message,
        body: '',
        isComplete: false,
        headers: {},
      }),
    );
    request.on('response', response => {
      const pieces = [];
      response.on('data', piece => pieces.push(piece));
      response.on('error', () => {});
      response.on('close', () =>
        end({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(pieces).toString(),
          isComplete: response.complete,
        }),
      );
    });
    request.end(body);
    onSent?.();
  });
}

/** A server of a service that is no model engine. It announces itself to control. */
export class PlainServer {
  constructor({id, service, ip, zone = 'zone-a', slots = 6, work, recorder}) {
    Object.assign(this, {id, service, ip, zone, slots, recorder});
    /** Answers a request that runs. */
    this.work = work;
    this.sequence = 0;
    this.isLeaving = false;
    this.arrivals = [];
    this.server = http.createServer(
      (request, response) =>
        void this.handle(request, response).catch(() => response.destroy()),
    );
  }

  listen() {
    return new Promise((resolve, reject) => {
      this.server.on('error', reject);
      this.server.listen(0, this.ip, () => {
        this.address = `${this.ip}:${this.server.address().port}`;
        resolve(this.address);
      });
    });
  }

  announcement() {
    this.sequence += 1;
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: this.sequence,
    };
  }

  async handle(request, response) {
    const pieces = [];
    for await (const piece of request) {
      pieces.push(piece);
    }
    const id = request.headers['request-id'];
    if (id !== undefined) {
      response.setHeader('request-id', id);
    }
    response.setHeader('instance-id', this.id);
    if (this.isLeaving) {
      response.setHeader('server-leaving', '1');
    }
    if (request.url === '/healthz') {
      response.statusCode = this.isLeaving ? 503 : 200;
      response.end();
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.statusCode = 421;
      response.end();
      return;
    }
    this.arrivals.push({id, at: now()});
    this.recorder.add(
      `${this.id} runs ${id}${this.isLeaving ? ' (it has said that it leaves)' : ''}`,
    );
    response.setHeader('server-signature', `${this.id}.${id}`);
    await this.work({request, response, id, body: Buffer.concat(pieces)});
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase({record, isCalm, limitMs}, run) {
  const recorder = new Recorder(record);
  const deployment = new Deployment(recorder);
  recorder.add(`disruption: ${isCalm ? 'left out' : 'on'}`);
  let code = EXIT_UNRUN;
  const guard = setTimeout(() => {
    recorder.add('the case took too long');
    void deployment.stop().then(() => process.exit(EXIT_UNRUN));
  }, limitMs);
  try {
    await deployment.choosePorts();
    code = (await run(deployment, recorder)) ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    recorder.add(`could not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
  }
  clearTimeout(guard);
  await deployment.stop();
  recorder.add(`exit ${code}`);
  process.exit(code);
}

// Starts the programs of deploy/system.toml on loopback addresses, with stand-ins of engines, clients
// and the operator that follow PROTOCOL.md. Shared by the scripts of the second review.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {fileURLToPath} from 'node:url';

export const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '..',
);
export const hasTrouble = process.env.TROUBLE !== '0';
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const now = () => Math.round(performance.now());

const BOUNDS = {
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
const LIMITS = {
  edge: {
    cpuShare: 0.513,
    cores: 1,
    memoryMb: 350,
    maxFds: 4100,
    linkMbps: 1000,
    diskMb: 0,
  },
  core: {
    cpuShare: 0.81,
    cores: 2,
    memoryMb: 346,
    maxFds: 4096,
    linkMbps: 1000,
    diskMb: 128,
  },
  side: {
    cpuShare: 0.54,
    cores: 1,
    memoryMb: 282,
    maxFds: 4096,
    linkMbps: 2000,
    diskMb: 0,
  },
};
const ROLE_OF = {edge: 'entry', core: 'control', side: 'agent'};

/** Writes what was sent, answered and run to record.txt in the folder of a case. */
export class Record {
  constructor(folder) {
    this.stream = createWriteStream(path.join(folder, 'record.txt'));
  }

  add(text) {
    this.stream.write(`${String(now()).padStart(7)} ms  ${text}\n`);
  }

  close() {
    return new Promise(resolve => this.stream.end(resolve));
  }
}

/** Reads the command of a role from the deploy file. */
function commandOf(role) {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  return /run = "([^"]+)"/.exec(section)[1].split(' ');
}

/** A machine of the system: one process of one role. */
export class Machine {
  constructor(system, kind, index) {
    const zone = `z${index % 3}`;
    this.system = system;
    this.kind = kind;
    this.name = `${kind}-${zone}-${index}`;
    this.zone = zone;
    const number = {core: 10, edge: 40, side: 80}[kind] + index;
    this.ip = `127.${system.net}.1.${number}`;
    this.engineAddress = undefined;
    this.isFirstStart = true;
    this.exits = [];
  }

  get frontend() {
    return `${this.ip}:${this.system.port + 30}`;
  }

  get controlPlane() {
    return `${this.ip}:${this.system.port + 32}`;
  }

  settings() {
    const {system, kind, ip, zone, name} = this;
    const listen = {
      edge: {frontend: this.frontend, readiness: `${ip}:${system.port + 31}`},
      core: {controlPlane: this.controlPlane},
      side: {},
    }[kind];
    return {
      nodeName: name,
      role: ROLE_OF[kind],
      machineClass: kind,
      ip,
      zone,
      region: 'r',
      serves: {edge: ['edge'], core: ['control_plane'], side: ['side']}[kind],
      internalPorts: [system.port, system.port + 15],
      seeds: system.cores.map(core => core.controlPlane),
      bootstrap: this.isFirstStart,
      countsAsLoss: kind === 'core',
      ...(kind === 'core' && {dataDir: path.join(system.folder, name)}),
      ...(kind === 'side' && {app: this.engineAddress}),
      discovery: 'registration',
      entry: 'vip',
      heartbeatMs: system.heartbeatMs,
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
      zones: {z0: 'r', z1: 'r', z2: 'r'},
      listen,
      limits: LIMITS[kind],
      faultTolerance: {machines: 1, zones: 0, regions: 0},
      bounds: BOUNDS,
    };
  }

  start() {
    const file = path.join(this.system.folder, `${this.name}.json`);
    writeFileSync(file, JSON.stringify(this.settings()));
    this.isFirstStart = false;
    const [command, ...args] = commandOf(ROLE_OF[this.kind]);
    const log = openSync(
      path.join(this.system.folder, `${this.name}.log`),
      'a',
    );
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {PATH, HOME, ...(LANG && {LANG}), MARIGOLDSPUR_BOOT: file},
      stdio: ['ignore', log, log],
    });
    this.child = child;
    this.startedAt = now();
    this.ended = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        this.exits.push({at: now(), code, signal});
        this.onExit?.(code, signal);
        resolve();
      }),
    );
  }

  get isRunning() {
    return (
      this.child !== undefined &&
      this.child.exitCode === null &&
      this.child.signalCode === null
    );
  }

  signal(name) {
    if (this.isRunning) {
      this.child.kill(name);
    }
  }

  log() {
    return readFileSync(
      path.join(this.system.folder, `${this.name}.log`),
      'utf8',
    );
  }
}

/** A small deployment on loopback addresses. */
export class System {
  constructor({edges = 1, cores = 3, sides = 1, heartbeatMs = 1200}) {
    this.net = 64 + Math.floor(Math.random() * 150);
    this.port = 20000 + 64 * Math.floor(Math.random() * 150);
    this.heartbeatMs = heartbeatMs;
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
    const make = (kind, count) =>
      Array.from(
        {length: count},
        (unused, index) => new Machine(this, kind, index),
      );
    this.cores = make('core', cores);
    this.edges = make('edge', edges);
    this.sides = make('side', sides);
    this.engines = [];
    this.version = 0;
    process.on('exit', () => this.kill());
    for (const name of ['SIGINT', 'SIGTERM']) {
      process.on(name, () => process.exit(2));
    }
  }

  get machines() {
    return [...this.cores, ...this.edges, ...this.sides];
  }

  kill() {
    this.machines.forEach(machine => machine.signal('SIGKILL'));
    rmSync(this.folder, {recursive: true, force: true});
  }

  async stop() {
    this.engines.forEach(engine => engine.stop());
    const running = this.machines.filter(machine => machine.isRunning);
    running.forEach(machine => machine.signal('SIGKILL'));
    await Promise.all(running.map(machine => machine.ended));
  }

  /** Sends a call to control, to one node after another until one gives a clear answer. */
  async callControl(method, callPath, body, order = this.cores) {
    for (let attempt = 0; attempt < 80; attempt += 1) {
      const address = order[attempt % order.length].controlPlane;
      const answer = await request({
        address,
        method,
        path: callPath,
        body,
        timeoutMs: 1000,
        headers: {'content-type': 'application/json'},
      });
      if (
        answer.status !== undefined &&
        answer.status < 500 &&
        ![408, 429].includes(answer.status)
      ) {
        return {...answer, address};
      }
      await sleep(100);
    }
    throw new Error(`no node answered ${callPath}`);
  }

  /** Sends a configuration until it is acknowledged. */
  async configure({routes, services}) {
    this.version += 1;
    const body = JSON.stringify({
      version: this.version,
      routes,
      services,
      limits: {
        maxHeaderBytes: 16384,
        maxBodyBytes: 4194304,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15000,
      },
    });
    const answer = await this.callControl(
      'POST',
      '/marigoldspur/config/replace',
      body,
    );
    if (answer.status !== 200) {
      throw new Error(
        `the configuration was refused: ${answer.status} ${answer.body}`,
      );
    }
  }

  /** Waits until a condition holds. */
  async until(condition, what, limitMs = 20000) {
    const deadline = now() + limitMs;
    while (!(await condition())) {
      if (now() > deadline) {
        throw new Error(`not reached in ${limitMs} ms: ${what}`);
      }
      await sleep(50);
    }
  }

  async isReady(edge) {
    const address = `${edge.ip}:${this.port + 31}`;
    const {status} = await request({
      address,
      method: 'GET',
      path: '/marigoldspur/readyz',
      timeoutMs: 500,
    });
    return status === 200;
  }
}

/**
 * Sends one request; resolves to its answer. `status` is undefined if there was none; `isWhole`
 * tells whether it ended as its framing says.
 */
export function request({
  address,
  method,
  path: requestPath,
  headers = {},
  body,
  timeoutMs = 10000,
  agent,
}) {
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const sentAt = now();
    const sent = http.request({
      host,
      port,
      method,
      path: requestPath,
      agent: agent ?? false,
      headers: {
        ...headers,
        ...(body !== undefined && {'content-length': Buffer.byteLength(body)}),
      },
    });
    const timer = setTimeout(
      () => sent.destroy(new Error('timeout')),
      timeoutMs,
    );
    const end = answer => {
      clearTimeout(timer);
      resolve({...answer, sentAt, tookMs: now() - sentAt});
    };
    sent.on('error', error => end({error: error.message}));
    sent.on('response', response => {
      const pieces = [];
      const finish = () =>
        end({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(pieces).toString(),
          isWhole: response.complete,
        });
      response.on('data', piece => pieces.push(piece));
      response.on('end', finish);
      response.on('error', finish);
      response.on('close', finish);
    });
    sent.end(body);
  });
}

/** Reads the complete events of a stream; those without an ID are left out. */
export function readEvents(text) {
  return text
    .split('\n\n')
    .slice(0, -1)
    .map(event => ({
      number: Number(/^id: (\d+)$/m.exec(event)?.[1]),
      data: /^data: (.*)$/m.exec(event)?.[1] ?? '',
    }))
    .filter(({number}) => !Number.isNaN(number));
}

/** An engine, or a plain service if it has no models, as PROTOCOL.md describes them. */
export class Engine {
  constructor(
    system,
    {
      id,
      service,
      index,
      models,
      zone = `z${index % 3}`,
      adapterSlots = 0,
      version = 'v1',
      born,
    },
  ) {
    Object.assign(this, {
      system,
      id,
      service,
      models: new Set(models),
      zone,
      adapterSlots,
      version,
    });
    this.isModelEngine = models !== undefined;
    this.ip = `127.${system.net}.1.${80 + index}`;
    this.bornAt = born ?? Date.now();
    this.state = 'ready';
    this.sequence = 0;
    this.orders = 0;
    this.fence = 0;
    this.adapters = new Set();
    this.pending = new Set();
    /** Requests that began to run, with their times. */
    this.runs = [];
    /** Requests that arrived, whether they ran or not. */
    this.arrivals = [];
    this.workMs = 20;
    this.events = 3;
    this.eventMs = 20;
    /** The events of a stream bear the IDs after this one. */
    this.idBase = 0;
    this.loadMs = 250;
    this.sends = true;
    /** Returns the core machines in the order in which heartbeats try them. */
    this.nodes = () => system.cores;
    this.onOrder = undefined;
    /** Whether the engine crashes as it begins to answer, after the head. */
    this.crashesOn = () => false;
    this.log = () => {};
    system.engines.push(this);
  }

  async listen(port = 0) {
    this.server = http.createServer((message, response) =>
      this.handle(message, response),
    );
    this.server.keepAliveTimeout = 5000;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, this.ip, resolve);
    });
    this.address = `${this.ip}:${this.server.address().port}`;
  }

  startHeartbeats() {
    void this.beat();
    this.timer = setInterval(() => void this.beat(), this.system.heartbeatMs);
  }

  heartbeat() {
    this.sequence += 1;
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: 64,
      state: this.state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.bornAt,
      ...(this.isModelEngine && {stage: 'both', models: this.listModels()}),
    };
  }

  listModels() {
    return [...this.models].map(name => ({
      name,
      version: 1,
      adapters: [...this.adapters].map(adapter => `${adapter}@1`),
    }));
  }

  /** Sends one heartbeat; resolves to the node that acknowledged it. */
  async beat() {
    return this.sends ? this.call('heartbeat', this.heartbeat()) : undefined;
  }

  async deregister(nodes = this.nodes()) {
    clearInterval(this.timer);
    return this.call('deregister', {}, nodes);
  }

  async call(name, content, nodes = this.nodes()) {
    const body = JSON.stringify(content);
    for (const node of nodes) {
      const answer = await request({
        address: node.controlPlane,
        method: 'POST',
        body,
        timeoutMs: 1000,
        path: `/marigoldspur/instances/${this.id}/${name}`,
        headers: {'content-type': 'application/json'},
      });
      if (answer.status >= 200 && answer.status < 300) {
        return {node, at: now()};
      }
    }
    return undefined;
  }

  stop() {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  handle(message, response) {
    const pieces = [];
    message.on('data', piece => pieces.push(piece));
    message.on('error', () => {});
    response.on('error', () => {});
    message.on('end', () => {
      const id = message.headers['request-id'];
      if (id !== undefined) {
        response.setHeader('request-id', id);
      }
      response.setHeader('instance-id', this.id);
      const body = Buffer.concat(pieces).toString();
      if (message.url === '/marigoldspur/report') {
        this.send(response, 200, this.report());
      } else if (message.url === '/marigoldspur/order') {
        this.handleOrder(message, JSON.parse(body), response);
      } else if (message.url === '/healthz') {
        this.send(response, this.state === 'ready' ? 200 : 503, {});
      } else {
        void this.serve(message, body, response);
      }
    });
  }

  send(response, status, content) {
    const text = JSON.stringify(content);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  report() {
    return {
      stage: 'both',
      born: this.bornAt,
      models: this.listModels(),
      busy: this.loadingModel !== undefined,
      sequence: this.orders,
      queued: 0,
      active: 0,
      kvUsed: 0,
      kvTotal: 232000,
      handles: 0,
      pending: [...this.pending].map(
        name => `${[...this.models][0]}/${name}@1`,
      ),
    };
  }

  handleOrder(message, order, response) {
    const expected = message.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.send(response, 421, {});
      return;
    }
    const status = this.onOrder?.(order, response) ?? this.execute(order);
    if (typeof status === 'number') {
      this.send(response, status, {});
    }
  }

  /** Carries an order out if its fencing token and its precondition hold; returns the status. */
  execute({operation, model, adapter, fencingToken, holder, precondition}) {
    if (holder === undefined || fencingToken === undefined) {
      return 400;
    }
    if (fencingToken < this.fence) {
      return 412;
    }
    this.fence = fencingToken;
    if (
      this.loadingModel !== undefined ||
      (precondition ?? this.orders) !== this.orders
    ) {
      return 409;
    }
    if (adapter === undefined) {
      return this.executeModel(operation, model);
    }
    if (!this.models.has(model)) {
      return 400;
    }
    this.orders += 1;
    if (operation === 'unload') {
      this.adapters.delete(adapter);
      return 200;
    }
    this.pending.add(adapter);
    const life = this.bornAt;
    setTimeout(() => {
      if (life === this.bornAt && this.pending.delete(adapter)) {
        this.adapters.add(adapter);
      }
    }, this.loadMs);
    return 202;
  }

  executeModel(operation, model) {
    if (operation === 'load' && this.models.has(model)) {
      return 200;
    }
    this.orders += 1;
    if (operation === 'unload') {
      this.models.delete(model);
      this.adapters.clear();
      return 202;
    }
    this.loadingModel = model;
    const life = this.bornAt;
    setTimeout(() => {
      if (life === this.bornAt) {
        this.loadingModel = undefined;
        this.models.add(model);
      }
    }, this.loadMs);
    return 202;
  }

  /** Ends like a process that crashes, and starts again under its ID after a time, empty. */
  async restart(downMs) {
    clearInterval(this.timer);
    const port = this.server.address().port;
    this.server.closeAllConnections();
    this.server.close();
    await sleep(downMs);
    this.bornAt = Date.now();
    Object.assign(this, {
      sequence: 0,
      orders: 0,
      fence: 0,
      loadingModel: undefined,
      state: 'ready',
    });
    this.models.clear();
    this.adapters.clear();
    this.pending.clear();
    await this.listen(port);
    this.startHeartbeats();
  }

  async serve(message, body, response) {
    const {headers, method, url} = message;
    const arrival = {
      id: headers['request-id'],
      at: now(),
      from: message.socket.remoteAddress,
      url,
    };
    this.arrivals.push(arrival);
    const refuse = status => {
      response.setHeader('not-executed', '1');
      this.send(response, status, {});
    };
    if (arrival.id === undefined) {
      refuse(400);
      return;
    }
    if (
      headers['expect-instance'] !== undefined &&
      headers['expect-instance'] !== this.id
    ) {
      refuse(421);
      return;
    }
    const [model, adapter] = (headers['model'] ?? '').split('/');
    if (
      this.isModelEngine &&
      (!this.models.has(model) ||
        (adapter !== undefined && !this.adapters.has(adapter)))
    ) {
      refuse(421);
      return;
    }
    arrival.parts = (headers['prompt-prefix'] ?? '')
      .split(',')
      .map(part => part.split(':')[0]);
    this.runs.push(arrival);
    this.onRun?.(arrival);
    response.setHeader('server-signature', `${this.id}.${this.runs.length}`);
    if (!this.isModelEngine) {
      await sleep(this.workMs);
      this.send(response, 200, {id: arrival.id, method, url, engine: this.id});
      return;
    }
    await this.stream(
      arrival,
      Number(headers['last-event-id'] ?? this.idBase),
      response,
    );
  }

  async stream(arrival, after, response) {
    await sleep(this.workMs);
    if (response.destroyed) {
      return;
    }
    response.writeHead(200, {'content-type': 'text/event-stream'});
    if (this.crashesOn(arrival)) {
      response.flushHeaders();
      await sleep(this.eventMs);
      this.onCrash(arrival);
      return;
    }
    for (
      let number = after + 1;
      number <= this.idBase + this.events && !response.destroyed;
      number += 1
    ) {
      response.write(`id: ${number}\ndata: ${this.id} ${number}\n\n`);
      await sleep(this.eventMs);
    }
    response.end();
  }
}

/**
 * Runs a case: `body` gets the system's record and returns the exit code, 1 if the rule was broken
 * and 0 if it held. An error means that the case could not run.
 */
export async function runCase(folder, body) {
  const record = new Record(folder);
  const limit = setTimeout(() => {
    record.add('the case took too long');
    process.exit(2);
  }, 118_000);
  let code;
  try {
    code = await body(record);
    record.add(code === 0 ? 'the rule held' : 'the rule was broken');
  } catch (thrown) {
    record.add(`the case could not run: ${thrown.stack}`);
    code = 2;
  }
  clearTimeout(limit);
  await record.close();
  process.exit(code);
}

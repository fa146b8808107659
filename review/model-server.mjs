/* global Buffer, setTimeout */
/* A stand-in of a model engine: its reports, its orders and its streams. */
import http from 'node:http';
import {now, pause} from './harness.mjs';

export class ModelServer {
  /** `models` are the models of the configuration; `held` the names of those that the engine holds. */
  constructor({
    name,
    service,
    ip,
    zone = 'zone-a',
    slots = 64,
    models,
    held,
    weightsMb,
    adapterSlots,
    eventMs = 100,
    recorder,
  }) {
    Object.assign(this, {
      name,
      service,
      ip,
      zone,
      slots,
      weightsMb,
      adapterSlots,
      eventMs,
      recorder,
    });
    this.models = new Map(models.map(model => [model.name, model]));
    this.starts = 0;
    this.crashes = [];
    this.isDown = true;
    this.runs = new Set();
    this.reset(held);
  }

  get id() {
    return `i-${this.name}-${this.starts}`;
  }

  reset(held) {
    this.held = new Map(held.map(name => [name, new Map()]));
    this.pending = new Map();
    this.loadingModel = undefined;
    this.orders = 0;
    this.fence = 0;
    this.sequence = 0;
  }

  async start(port = 0) {
    this.starts += 1;
    this.server = http.createServer(
      (request, response) =>
        void this.handle(request, response).catch(() => response.destroy()),
    );
    await new Promise((resolve, reject) => {
      this.server.on('error', reject);
      this.server.listen(port, this.ip, resolve);
    });
    this.address = `${this.ip}:${this.server.address().port}`;
    this.isDown = false;
    this.recorder.add(
      `${this.id} starts with ${[...this.held.keys()].join(' ') || 'nothing'}`,
    );
  }

  /** Ends like a process that crashes, and starts again empty after `downMs`. */
  crash(reason, downMs) {
    if (this.isDown) {
      return;
    }
    this.isDown = true;
    this.recorder.add(
      `${this.id} crashes: ${reason}; ${this.runs.size} requests were running`,
    );
    this.crashes.push({reason, at: now(), running: this.runs.size});
    const port = this.server.address().port;
    this.server.closeAllConnections();
    this.server.close();
    this.runs.clear();
    this.reset([]);
    if (downMs !== undefined) {
      setTimeout(() => void (this.isStopped || this.start(port)), downMs);
    }
  }

  stop() {
    this.isStopped = true;
    if (!this.isDown) {
      this.isDown = true;
      this.server.closeAllConnections();
      this.server.close();
    }
  }

  reportedModels() {
    return [...this.held].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters].map(
        ([adapter, version]) => `${adapter}@${version}`,
      ),
    }));
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
      stage: 'both',
      models: this.reportedModels(),
      sequence: this.sequence,
    };
  }

  /** Memory that the weights and adapters take, with those on their way, in MB. */
  takenMb() {
    let taken =
      this.loadingModel === undefined
        ? 0
        : this.models.get(this.loadingModel).weightsMb;
    for (const [name, adapters] of this.held) {
      const {weightsMb, adapterMb} = this.models.get(name);
      taken += weightsMb + adapterMb * adapters.size;
    }
    for (const model of this.pending.values()) {
      taken += this.models.get(model).adapterMb;
    }
    return taken;
  }

  async handle(request, response) {
    const pieces = [];
    for await (const piece of request) {
      pieces.push(piece);
    }
    response.setHeader('instance-id', this.id);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      return reply(response, 421, {}, request);
    }
    if (request.url === '/marigoldspur/report') {
      return reply(response, 200, {
        stage: 'both',
        models: this.reportedModels(),
        busy: this.loadingModel !== undefined,
        sequence: this.orders,
        queued: 0,
        active: this.runs.size,
        kvUsed: 0,
        kvTotal: 232_000,
        handles: 0,
        pending: [...this.pending].map(
          ([adapter, model]) => `${model}/${adapter}@1`,
        ),
      });
    }
    if (request.url === '/marigoldspur/order') {
      return this.takeOrder(JSON.parse(Buffer.concat(pieces)), response);
    }
    return this.serve(request, response);
  }

  takeOrder(order, response) {
    const {
      operation,
      model,
      adapter,
      version,
      precondition,
      holder,
      fencingToken,
    } = order;
    this.recorder.add(`${this.id} gets the order ${JSON.stringify(order)}`);
    if (
      holder === undefined ||
      fencingToken === undefined ||
      !this.models.has(model)
    ) {
      return reply(response, 400, {});
    }
    if (fencingToken < this.fence) {
      return reply(response, 412, {});
    }
    this.fence = fencingToken;
    if (
      this.loadingModel !== undefined ||
      (precondition ?? this.orders) !== this.orders
    ) {
      return reply(response, 409, {});
    }
    const {id} = this;
    if (operation === 'unload') {
      this.orders += 1;
      if (adapter === undefined) {
        this.held.delete(model);
      } else {
        this.held.get(model)?.delete(adapter);
      }
      return reply(response, 200, {});
    }
    if (adapter === undefined) {
      if (this.held.has(model)) {
        return reply(response, 200, {});
      }
      this.orders += 1;
      this.loadingModel = model;
      setTimeout(
        () => {
          if (id === this.id && this.loadingModel === model) {
            this.loadingModel = undefined;
            this.held.set(model, new Map());
          }
        },
        this.models.get(model).loadS * 1_000,
      );
    } else {
      this.orders += 1;
      this.pending.set(adapter, model);
      setTimeout(() => {
        if (id === this.id && this.pending.delete(adapter)) {
          this.held.get(model)?.set(adapter, version ?? 1);
        }
      }, 250);
    }
    const adapters =
      this.pending.size +
      [...this.held.values()].reduce((sum, each) => sum + each.size, 0);
    reply(response, 202, {});
    if (this.takenMb() > this.weightsMb || adapters > this.adapterSlots) {
      this.crash(
        `it was ordered to hold ${this.takenMb()} MB of ${this.weightsMb} MB and ${adapters} adapters of ${this.adapterSlots}`,
        4_000,
      );
      this.crashes.at(-1).isOverLimit = true;
    }
  }

  async serve(request, response) {
    const id = request.headers['request-id'];
    const [model, adapter] = String(request.headers['model']).split('/');
    response.setHeader('request-id', id);
    if (
      !this.held.has(model) ||
      (adapter !== undefined && !this.held.get(model).has(adapter))
    ) {
      return reply(response, 421, {});
    }
    const incarnation = this.id;
    this.runs.add(id);
    this.recorder.add(`${this.id} runs ${id}`);
    const events =
      Number(String(request.headers['token-usage']).split(',')[1]) / 4;
    response.setHeader('server-signature', `${this.id}.${id}`);
    response.writeHead(200, {'content-type': 'text/event-stream'});
    for (let number = 1; number <= events; number += 1) {
      await pause(this.eventMs);
      if (response.destroyed || incarnation !== this.id || this.isDown) {
        this.runs.delete(id);
        return;
      }
      response.write(`id: ${number}\ndata: event ${number} of ${id}\n\n`);
    }
    this.runs.delete(id);
    response.end();
  }
}

function reply(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

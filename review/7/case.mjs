// Engines number the events of streams with 13 digits. Callers take their streams up after the entry of these was
// killed, and get them again from the first event on.
import http from 'node:http';
import process from 'node:process';
import {
  Engine,
  System,
  hasTrouble,
  now,
  readEvents,
  request,
  runCase,
  sleep,
} from '../harness-2.mjs';

/** IDs of events follow this one; 0 shows that their length is the cause. */
const ID_BASE = Number(process.env.ID_BASE ?? 1_000_000_000_000);
const EVENTS = 60;
const CALLERS = 12;
const DEADLINE_MS = 12_000;
const TRIES = 2;

const ROUTES = [
  {
    name: 'streams',
    host: 'a.example',
    pathPrefix: '/llm/',
    routeKind: 'streaming',
    timeoutMs: DEADLINE_MS,
    targetLatencyMs: 1000,
    priority: 1,
    service: 'llm',
    maxAttempts: 2,
    sticky: true,
    resumable: true,
    targetGapMs: 400,
  },
];
const SERVICES = [
  {
    name: 'llm',
    healthPath: '/healthz',
    maxConnections: 370,
    protocol: 'h1',
    tls: false,
    engine: {
      slots: 64,
      kvCapacity: 232000,
      adapterSlots: 8,
      weightsMb: 35300,
      loadsPerS: 4.2,
      models: [
        {name: 'm0', weightsMb: 34300, loadS: 1, adapters: 3000, adapterMb: 40},
      ],
    },
  },
];

await runCase(import.meta.dirname, async record => {
  const system = new System({edges: 2, cores: 3, sides: 2});
  const engines = [0, 1].map(
    index =>
      new Engine(system, {
        id: `i-${index}`,
        service: 'llm',
        index,
        models: ['m0'],
        adapterSlots: 8,
      }),
  );
  for (const [index, engine] of engines.entries()) {
    Object.assign(engine, {events: EVENTS, eventMs: 80, idBase: ID_BASE});
    await engine.listen();
    system.sides[index].engineAddress = engine.address;
  }
  system.machines.forEach(machine => machine.start());
  await sleep(1500);
  engines.forEach(engine => engine.startHeartbeats());
  await system.configure({routes: ROUTES, services: SERVICES});
  const [first, second] = system.edges;
  await system.until(() => system.isReady(first), 'the first entry is ready');
  await system.until(() => system.isReady(second), 'the second entry is ready');
  // All machines are in touch contactMs after their start.
  await sleep(4000);

  const send = (edge, id, headers = {}) =>
    request({
      address: edge.frontend,
      method: 'POST',
      path: '/llm/chat',
      body: '{}',
      agent: new http.Agent({keepAlive: true, maxSockets: 1}),
      timeoutMs: DEADLINE_MS,
      headers: {
        host: 'a.example',
        'request-id': id,
        model: 'm0',
        'token-usage': '100,200',
        'prompt-prefix': `5c1e07a2:50,${id.slice(-8)}:50`,
        'deadline-ms': String(DEADLINE_MS),
        ...headers,
      },
    });
  const startedAt = now();
  const begun = Array.from({length: CALLERS}, async (unused, caller) => {
    const id = `9c41d07be2a3${String(caller).padStart(4, '0')}`;
    return {id, answer: await send(first, id)};
  });
  await sleep(2000);
  if (hasTrouble) {
    record.add('the first entry is killed (SIGKILL)');
    first.signal('SIGKILL');
  }
  const streams = await Promise.all(
    begun.map(async stream => {
      const {id, answer} = await stream;
      const events = readEvents(answer.body ?? '');
      let isWhole = answer.isWhole;
      const tries = [answer.status];
      for (let attempt = 1; attempt <= TRIES && !isWhole; attempt += 1) {
        const last = events.at(-1)?.number;
        const retry = await send(second, `${id}-t${attempt}`, {
          'deadline-ms': String(DEADLINE_MS - (now() - startedAt)),
          ...(last !== undefined && {
            'last-event-id': String(last),
            resumes: id,
          }),
        });
        tries.push(retry.status ?? retry.error);
        events.push(...readEvents(retry.status === 200 ? retry.body : ''));
        isWhole = retry.status === 200 && retry.isWhole;
        if (!isWhole) {
          await sleep(1000 * Number(retry.headers?.['retry-after'] ?? 0.3));
        }
      }
      return {id, events, isWhole, tries};
    }),
  );

  const disordered = streams.filter(({events}) =>
    events.some(
      ({number}, index) => index > 0 && number <= events[index - 1].number,
    ),
  );
  for (const {id, events, isWhole, tries} of streams) {
    const again = events.findIndex(
      ({number}, index) => index > 0 && number <= events[index - 1].number,
    );
    record.add(
      `${id}: answers ${tries.join(', ')}; ${events.length} events${isWhole ? ', ends as complete' : ', is not complete'}${again < 0 ? '' : `; event ${events[again].number} follows event ${events[again - 1].number}`}`,
    );
  }
  record.add(
    `${streams.length} streams of ${EVENTS} events, ${streams.filter(({isWhole}) => isWhole).length} end as complete, ${disordered.length} hold pieces twice`,
  );
  await system.stop();
  return disordered.length > 0 ? 1 : 0;
});

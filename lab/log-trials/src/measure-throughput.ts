import {mkdtemp, open, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {ClaimLoad} from './claim-load.js';
import {ControlHostGroup} from './control-host-group.js';
import {LatencyMeter, type Throughput} from './latency-meter.js';
import {measureLog} from './measure-log.js';

const WRITE_BYTES = 256;
const BASELINE_MS = 3_000;
const WARM_UP_MS = 2_000;
const MEASURE_MS = 6_000;
const PROPOSER_COUNTS = [1, 16, 64];

/** Measures the throughput of accepted commands and, as a baseline, of single synced writes on the same disk. */
export async function measureThroughput(
  replicas: number,
): Promise<Throughput[]> {
  const results = [await measureDiskBaseline()];
  const group = await ControlHostGroup.start({
    replicas,
    flags: ['--log-level', 'warn'],
  });
  for (const proposers of PROPOSER_COUNTS) {
    results.push(await measureLoad(group, proposers));
  }
  await group.stop();
  results.push(...(await measureLog(replicas)));
  results.push(await measureDiskBaseline());
  return results;
}

async function measureDiskBaseline(): Promise<Throughput> {
  const folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-floor-'));
  const file = await open(path.join(folder, 'file'), 'a');
  const bytes = Buffer.alloc(WRITE_BYTES, 'x');
  const meter = new LatencyMeter();
  const endAt = performance.now() + BASELINE_MS;
  while (performance.now() < endAt) {
    const startedAt = performance.now();
    await file.write(bytes);
    await file.datasync();
    meter.record(performance.now() - startedAt);
  }
  await file.close();
  await rm(folder, {recursive: true});
  return meter.result('one synced write at a time', BASELINE_MS);
}

async function measureLoad(
  group: ControlHostGroup,
  proposers: number,
): Promise<Throughput> {
  let meter = new LatencyMeter();
  const load = new ClaimLoad(group.client, {
    proposers,
    prefix: `proposers-${proposers}`,
    onGranted: durationMs => meter.record(durationMs),
  });
  await delay(WARM_UP_MS);
  meter = new LatencyMeter();
  const startedAt = performance.now();
  await delay(MEASURE_MS);
  const measured = meter;
  const elapsedMs = performance.now() - startedAt;
  meter = new LatencyMeter();
  await load.stop();
  return measured.result(`commands, ${proposers} proposers`, elapsedMs);
}

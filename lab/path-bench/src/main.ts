import {loadavg} from 'node:os';
import {z} from 'zod';
import {runJob} from '@marigoldspur/process-lifecycle';
import {
  DURATION_MS_SCHEMA,
  LIST_SCHEMA,
  VERSION,
} from '@marigoldspur/process-settings';
import {withBenchSystem} from './bench-system.js';
import {measurePaced} from './paced.js';
import {printLines} from './report-lines.js';
import {measureSaturated} from './saturated.js';
import {measureStreams} from './streams.js';

const MEASUREMENTS = {
  saturated: {tokenMs: 0, measure: measureSaturated},
  paced: {tokenMs: 0, measure: measurePaced},
  streams: {tokenMs: 20, measure: measureStreams},
} as const;
const MEASUREMENT_NAMES = ['saturated', 'paced', 'streams'] as const;

await runJob({
  name: 'path-bench',
  version: VERSION,
  about: 'Measure what an entry and an agent add to a direct call',
  schema: z.object({
    measures: LIST_SCHEMA.pipe(z.array(z.enum(MEASUREMENT_NAMES)))
      .default([...MEASUREMENT_NAMES])
      .describe(
        `Measurements to run, separated by commas, of ${MEASUREMENT_NAMES.join(', ')}; all by default`,
      ),
    resumeMs: DURATION_MS_SCHEMA.default(0).describe(
      'Time in which a broken stream of the engine can be resumed, in milliseconds; 0 disables resumption',
    ),
    entries: z.coerce
      .number()
      .int()
      .min(1)
      .default(1)
      .describe('Number of entry processes'),
    adapters: z.coerce
      .number()
      .int()
      .min(1)
      .default(3_000)
      .describe('Number of adapters in the settings tree'),
  }),
  work: async ({measures, entries, adapters, resumeMs}) => {
    for (const name of measures) {
      const {tokenMs, measure} = MEASUREMENTS[name];
      printLines(`${name}, load average ${loadavg()[0].toFixed(1)}`);
      const options = {entries, adapters, tokenMs, resumeMs};
      await withBenchSystem(options, measure);
    }
    return 0;
  },
});

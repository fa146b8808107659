import {z} from 'zod';
import {TARGET_INCARNATION_SCHEMA} from './target-announcement.js';

/** Path at which a replica of control accepts which targets say in their answers that they leave. */
export const TARGET_LEAVES_PATH = '/target-leaves';

/** Maximum number of leaving targets in a message. */
export const MAX_TARGET_LEAVES = 4_096;

/** Targets that said in an answer that they leave. */
export const TARGET_LEAVES_SCHEMA = z.object({
  targets: z.array(TARGET_INCARNATION_SCHEMA).max(MAX_TARGET_LEAVES),
});

import {z} from 'zod';
import {schemaFindings, type Finding} from '@marigoldspur/faults';
import {FLEET_MESSAGE_SCHEMA, type FleetMessage} from './fleet-messages.js';
import {
  TARGET_ANNOUNCEMENT_SCHEMA,
  type TargetAnnouncement,
} from './target-announcement.js';

/** A message of a fleet stream, and why some of its targets cannot be used. */
export interface ReadFleetMessage {
  readonly message: FleetMessage;
  readonly findings: readonly Finding[];
}

const ENVELOPE_SCHEMA = z.object({targets: z.array(z.unknown()).optional()});
// A schema compiles its parser at its first use.
const MESSAGE_WITHOUT_TARGETS_SCHEMA = FLEET_MESSAGE_SCHEMA.omit({
  targets: true,
});

/**
 * Reads a message of a fleet stream. Targets whose announcement is invalid are left out, as a
 * replica with an earlier version of the software may have accepted them; throws if anything
 * else is invalid.
 */
export function readFleetMessage(raw: unknown): ReadFleetMessage {
  const {targets} = ENVELOPE_SCHEMA.parse(raw);
  const message = MESSAGE_WITHOUT_TARGETS_SCHEMA.parse(raw);
  if (targets === undefined) {
    return {message, findings: []};
  }
  const valid: TargetAnnouncement[] = [];
  const findings: Finding[] = [];
  for (const [index, target] of targets.entries()) {
    const parsed = TARGET_ANNOUNCEMENT_SCHEMA.safeParse(target);
    if (parsed.success) {
      valid.push(parsed.data);
    } else {
      findings.push(...schemaFindings(parsed.error, `targets.${index}`));
    }
  }
  return {message: {...message, targets: valid}, findings};
}

import type {StreamOrigin, TargetAnnouncement} from '@marigoldspur/deployment';

/** Whether a target may send the rest of a stream. */
export function mayContinue(
  target: Pick<
    TargetAnnouncement,
    'bornAt' | 'id' | 'service' | 'softwareVersion'
  >,
  origin: StreamOrigin,
): boolean {
  const isOrigin = target.id === origin.id && target.bornAt === origin.bornAt;
  const hasSameVersion =
    origin.softwareVersion !== undefined &&
    target.softwareVersion === origin.softwareVersion;
  return target.service === origin.service && (isOrigin || hasSameVersion);
}

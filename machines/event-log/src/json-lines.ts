import loglevel from 'loglevel';
import {
  CATALOGUE,
  type Event,
  type EventName,
} from '@marigoldspur/event-catalogue';
import type {LineWriter} from './line-writer.js';

/** Receives each recorded event. */
export interface EventSink {
  write(event: Event): void;
}

/** Creates a sink that writes events as JSON lines if their level in the catalogue is at least `level`. */
export function createJsonLineSink(
  level: loglevel.LogLevelDesc,
  writer: Pick<LineWriter, 'write'>,
): EventSink {
  const logger = loglevel.getLogger('marigoldspur');
  logger.methodFactory = () => line => writer.write(String(line));
  logger.setLevel(level, false);
  return {
    write(event) {
      const kind = CATALOGUE[event.name as EventName];
      if (loglevel.levels[levelName(kind.level)] >= logger.getLevel()) {
        logger[kind.level](JSON.stringify({level: kind.level, ...event}));
      }
    },
  };
}

function levelName(
  level: 'debug' | 'info' | 'warn' | 'error',
): keyof typeof loglevel.levels {
  return level.toUpperCase() as keyof typeof loglevel.levels;
}

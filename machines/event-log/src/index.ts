export {
  EventLog,
  type EventDetails,
  type EventLogOptions,
} from './event-log.js';
export {
  formatHybridTime,
  HybridClock,
  parseHybridTime,
  type HybridTime,
} from './hybrid-clock.js';
export {createJsonLineSink, type EventSink} from './json-lines.js';
export {LineWriter, type LineWriterOptions} from './line-writer.js';

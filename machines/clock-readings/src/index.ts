export {elapsedMs, readClock, type ClockReading} from './clock-reading.js';

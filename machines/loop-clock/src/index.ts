export {afterPoll} from './after-poll.js';
export {
  LoopClock,
  startLoopClock,
  type RunningLoopClock,
} from './loop-clock.js';

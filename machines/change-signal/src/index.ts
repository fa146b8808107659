export {ChangeSignal} from './change-signal.js';

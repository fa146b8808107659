export {PriorityScale, type PriorityHolder} from './priority-scale.js';

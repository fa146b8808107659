export {createProcessRouter} from './router.js';
export type {ProcessRouter, ProcessService} from './router.js';

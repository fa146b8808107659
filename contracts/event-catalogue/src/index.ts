export {CATALOGUE, eventNumber} from './catalogue.js';
export type {EventName} from './catalogue.js';
export {EVENT_SCHEMA} from './event.js';
export type {Event} from './event.js';

export type {LoadOrder, PendingLoad} from './load-order.js';
export {FirstComeOrder} from './first-come-order.js';
export {LeastHarmOrder} from './least-harm-order.js';
export {createLoadOrder, type LoadOrderName} from './create-load-order.js';

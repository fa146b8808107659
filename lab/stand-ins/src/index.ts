export {startEngine, type EngineOptions} from './engine.js';
export {startPlainService, type PlainServiceOptions} from './plain-service.js';
export {startWeightStore, type WeightStoreOptions} from './weight-store.js';
export {startBalancer, type BalancerOptions} from './balancer.js';
export type {StandIn} from './stand-in.js';
export {ENGINE_FAULTS_SCHEMA, type EngineFaults} from './engine-faults.js';
export {SERVICE_FAULTS_SCHEMA, type ServiceFaults} from './service-faults.js';
export type {OrderRecord, RunRecord, TokenTime} from './run-record.js';

export {CallProgress, type SentCall} from './call-progress.js';
export {ClippedMean} from './clipped-mean.js';
export {HiddenRequests} from './hidden-requests.js';
export {plainCost, type PlainLoad} from './plain-cost.js';
export {PromisedMemory} from './promised-memory.js';
export {
  PRIOR_COSTS,
  statedLoadCosts,
  type LoadCosts,
  type ServiceCosts,
} from './service-costs.js';
export {boundLoad, ReportedLoad} from './reported-load.js';
export {RobustMean, type RobustMeanOptions} from './robust-mean.js';
export {RouteModel, type ExpectedOutput} from './route-model.js';
export {
  ServiceModel,
  type FirstEvent,
  type PlainResponse,
  type StreamPauses,
} from './service-model.js';
export {stretchByPace, StatedPace} from './stated-pace.js';
export {TargetModel} from './target-model.js';

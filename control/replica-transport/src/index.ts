export {DELIVERY_PATH, createDeliveryHandler} from './delivery-handler.js';
export {ReplicaLink, type ReplicaLinkOptions} from './replica-link.js';
export {createReplicaRouter, type ReplicaRouter} from './replica-router.js';
export {
  DELIVERY_SCHEMA,
  type Delivery,
  type DeliveryAnswer,
  type RequesterIdentity,
  type ReplicaIdentity,
  type ReplicaService,
} from './replica-service.js';

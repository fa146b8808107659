export {DELIVERY_PATH, deliveryHandler} from './delivery-handler.js';
export {ReplicaLink, type ReplicaLinkOptions} from './replica-link.js';
export {replicaRouter, type ReplicaRouter} from './replica-router.js';
export {
  DELIVERY_SCHEMA,
  type Delivery,
  type DeliveryAnswer,
  type RequesterIdentity,
  type ReplicaIdentity,
  type ReplicaService,
} from './replica-service.js';

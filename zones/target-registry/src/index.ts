export {
  TargetRegistry,
  type AnnouncementOutcome,
  type TargetRegistryOptions,
} from './target-registry.js';

export {
  BodyReader,
  type BodyFailure,
  type BodyReaderOptions,
  type BodyRequest,
} from './body-reader.js';
export {ChunkLimit, ChunkRateLimit, type ChunkCheck} from './chunk-limit.js';
export {discardRest} from './discard-rest.js';
export {GuardedMessage, type BodyWatch} from './guarded-message.js';
export {LeakyBucket, type LeakyBucketOptions} from './leaky-bucket.js';
export {PieceList} from './piece-list.js';
export {createRequestBody, type RequestBody} from './request-body.js';

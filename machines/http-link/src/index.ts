export {framingOf, type BodyFraming} from './body-framing.js';
export {detectReset} from './detect-reset.js';
export {AnswerPace} from './answer-pace.js';
export {readAnswer} from './read-answer.js';
export {readBody} from './read-body.js';
export {
  exchangeJson,
  createJsonHandler,
  type JsonCall,
  type JsonHandlerOptions,
} from './json-exchange.js';
export {createUnlimitedMemory, type MessageMemory} from './message-memory.js';
export {createFetch} from './create-fetch.js';
export {
  closeServer,
  closeServerWithin,
  listen,
  type Address,
} from './listen.js';
export {listenWhenFree, type PortListener} from './listen-when-free.js';
export {PortWait, type PortWaitStep} from './port-wait.js';
export {onResponseEnd} from './on-response-end.js';
export {onResponseHead} from './on-response-head.js';
export {openRequest, type OutgoingRequest} from './open-request.js';
export {
  endToEndHeaders,
  type EndToEndHeaderOptions,
} from './end-to-end-headers.js';
export {findInvalidHead, findInvalidHeader} from './invalid-head.js';
export {urlForPath} from './url-for-path.js';
export {
  JsonStream,
  type JsonStreamAnswer,
  type JsonStreamOptions,
} from './json-stream.js';
export {createJsonStreamHandler} from './json-stream-handler.js';
export {limitReadRate, type ReadRateOptions} from './limit-read-rate.js';
export {discardBody, limitResponseHead} from './response-limits.js';
export {ChunkMeter} from './chunk-meter.js';
export {PacedReading, type PacedReadingOptions} from './paced-reading.js';
export {
  pauseAndReadAhead,
  pauseMessage,
  resumeMessage,
} from './pause-message.js';
export {ReadPace} from './read-pace.js';
export {TinyChunkLimit} from './tiny-chunk-limit.js';
export {SlicedHttpAgent} from './sliced-http-agent.js';
export {TargetHttpAgent} from './target-http-agent.js';
export {LineReader, LineTooLongError} from './line-reader.js';

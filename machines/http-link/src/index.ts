export {readBody} from './read-body.js';
export {
  exchangeJson,
  jsonHandler,
  type JsonCall,
  type JsonHandlerOptions,
} from './json-exchange.js';
export {linkFetch} from './link-fetch.js';
export {closeServer, listen, type Address} from './listen.js';
export {openRequest, type OutgoingCall} from './open-request.js';
export {endToEndHeaders, type EndToEndOptions} from './end-to-end-headers.js';
export {urlAt} from './url-at.js';
export {
  JsonStream,
  type JsonStreamAnswer,
  type JsonStreamOptions,
} from './json-stream.js';
export {jsonStreamHandler} from './json-stream-handler.js';
export {LineReader, LineTooLong} from './line-reader.js';

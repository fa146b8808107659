import {ProcessRuntime} from '@marigoldspur/process-runtime';

/** A process in which a timer fails that belongs to no request. */
await ProcessRuntime.open('entry', {
  id: 'failing',
  zone: 'a',
  host: '127.0.0.1',
  port: 0,
  logLevel: 'info',
});
setTimeout(() => {
  throw new Error('damaged state');
}, 1);
setTimeout(() => {}, 60_000);

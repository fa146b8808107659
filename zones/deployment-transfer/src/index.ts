export {DeploymentArchive} from './deployment-archive.js';
export {
  DeploymentFetcher,
  type DeploymentFetcherOptions,
} from './deployment-fetcher.js';
export {readTransfer} from './read-transfer.js';

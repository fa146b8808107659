export {reviewDeployment} from './review-deployment.js';
export type {ReviewFinding, Severity} from './review-finding.js';

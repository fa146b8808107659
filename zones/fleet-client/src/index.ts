export {FleetFollower, type FleetFollowerOptions} from './fleet-follower.js';
export {openLineStream, type LineStreamOptions} from './line-stream.js';

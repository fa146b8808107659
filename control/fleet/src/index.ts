export {
  FleetDesk,
  type FleetCommands,
  type FleetDeskOptions,
} from './fleet-desk.js';
export {FleetStreams, type FleetStreamsOptions} from './fleet-streams.js';

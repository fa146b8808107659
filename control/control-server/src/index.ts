export {
  startControl,
  type ControlExtension,
  type ControlExtensionContext,
} from './start-control.js';
export {
  CONTROL_SETTINGS_SCHEMA,
  type ControlSettings,
} from './control-settings.js';
export {COMMAND_SCHEMA, type Command, type CommandAnswer} from './command.js';
export {
  ControlRequestHandler,
  type ControlRequestHandlerOptions,
} from './control-request-handler.js';
export {createDeploymentConfirmationHandler} from './deployment-confirmation-handler.js';
export {ControlStateMachine} from './control-state-machine.js';
export {createQuotaGrantHandler} from './quota-grant-handler.js';

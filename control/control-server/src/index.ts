export {
  startControl,
  type ControlDoor,
  type ControlParts,
} from './start-control.js';
export {
  CONTROL_SETTINGS_SCHEMA,
  type ControlSettings,
} from './control-settings.js';
export {COMMAND_SCHEMA, type Command, type CommandAnswer} from './command.js';
export {ControlDesk, type ControlDeskOptions} from './control-desk.js';
export {ControlMachine} from './control-machine.js';

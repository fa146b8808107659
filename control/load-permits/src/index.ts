export {PermitDesk, type PermitDeskOptions} from './permit-desk.js';

export {
  AdmissionController,
  type AdmissionControllerOptions,
  type AdmissionSettings,
  type AdmissionPermit,
} from './admission-controller.js';

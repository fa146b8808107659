export {
  Admission,
  type AdmissionOptions,
  type AdmissionSettings,
  type Admitted,
} from './admission.js';

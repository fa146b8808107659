export {Admission, type Admitted} from './admission.js';

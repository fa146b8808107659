export {
  createCertificateAuthority,
  formatSerialNumber,
  type CertificateAuthority,
  type IssuedCertificate,
} from './certificate-authority.js';

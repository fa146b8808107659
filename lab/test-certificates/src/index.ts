export {
  createCertificateAuthority,
  type CertificateAuthority,
  type IssuedCertificate,
} from './certificate-authority.js';

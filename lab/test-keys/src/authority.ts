import {randomBytes} from 'node:crypto';
import forge from 'node-forge';

/** A certificate with its private key, in PEM. */
export interface KeyPair {
  readonly cert: string;
  readonly key: string;
}

/** A certificate authority. */
export interface Authority {
  /** Certificate of the authority, in PEM. */
  readonly ca: string;
  /** Issues a certificate for a process on loopback. */
  issue(name: string): KeyPair;
}

const KEY_BITS = 2_048;
const VALID_MS = 86_400_000;
const IP_NAME_TYPE = 7;
const SERIAL_BYTES = 8;

/** Creates a certificate authority whose certificates are valid for a day. */
export function createAuthority(): Authority {
  const keys = forge.pki.rsa.generateKeyPair(KEY_BITS);
  const subject = [{name: 'commonName', value: 'marigoldspur test authority'}];
  const ca = certificate(keys.publicKey, subject, subject, [
    {name: 'basicConstraints', cA: true},
    {name: 'keyUsage', keyCertSign: true},
  ]);
  ca.sign(keys.privateKey, forge.md.sha256.create());
  return {
    ca: forge.pki.certificateToPem(ca),
    issue: name => {
      const own = forge.pki.rsa.generateKeyPair(KEY_BITS);
      const cert = certificate(
        own.publicKey,
        [{name: 'commonName', value: name}],
        subject,
        [
          {name: 'extKeyUsage', serverAuth: true, clientAuth: true},
          {
            name: 'subjectAltName',
            altNames: [{type: IP_NAME_TYPE, ip: '127.0.0.1'}],
          },
        ],
      );
      cert.sign(keys.privateKey, forge.md.sha256.create());
      return {
        cert: forge.pki.certificateToPem(cert),
        key: forge.pki.privateKeyToPem(own.privateKey),
      };
    },
  };
}

function certificate(
  publicKey: forge.pki.PublicKey,
  subject: forge.pki.CertificateField[],
  issuer: forge.pki.CertificateField[],
  extensions: object[],
): forge.pki.Certificate {
  const cert = forge.pki.createCertificate();
  cert.publicKey = publicKey;
  // A leading zero byte keeps the serial number positive.
  cert.serialNumber = `00${randomBytes(SERIAL_BYTES).toString('hex')}`;
  cert.validity.notBefore = new Date(Date.now() - VALID_MS);
  cert.validity.notAfter = new Date(Date.now() + VALID_MS);
  cert.setSubject(subject);
  cert.setIssuer(issuer);
  cert.setExtensions(extensions);
  return cert;
}

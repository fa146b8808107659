import {randomBytes} from 'node:crypto';
import forge from 'node-forge';

/** A certificate and its private key, in PEM. */
export interface IssuedCertificate {
  readonly cert: string;
  readonly key: string;
}

/** A certificate authority. */
export interface CertificateAuthority {
  /** Certificate of the authority, in PEM. */
  readonly ca: string;
  /** Issues a server and client certificate for 127.0.0.1 with `name` as its common name. */
  issue(name: string): IssuedCertificate;
}

const KEY_BITS = 2_048;
const VALIDITY_MS = 86_400_000;
const ALT_NAME_TYPE_IP = 7;
const SERIAL_BYTES = 8;

/** Creates a certificate authority whose certificates are valid for one day. */
export function createCertificateAuthority(): CertificateAuthority {
  const keys = forge.pki.rsa.generateKeyPair(KEY_BITS);
  const subject = [{name: 'commonName', value: 'marigoldspur test authority'}];
  const ca = buildCertificate(keys.publicKey, subject, subject, [
    {name: 'basicConstraints', cA: true},
    {name: 'keyUsage', keyCertSign: true},
  ]);
  ca.sign(keys.privateKey, forge.md.sha256.create());
  return {
    ca: forge.pki.certificateToPem(ca),
    issue: name => {
      const keyPair = forge.pki.rsa.generateKeyPair(KEY_BITS);
      const cert = buildCertificate(
        keyPair.publicKey,
        [{name: 'commonName', value: name}],
        subject,
        [
          {name: 'extKeyUsage', serverAuth: true, clientAuth: true},
          {
            name: 'subjectAltName',
            altNames: [{type: ALT_NAME_TYPE_IP, ip: '127.0.0.1'}],
          },
        ],
      );
      cert.sign(keys.privateKey, forge.md.sha256.create());
      return {
        cert: forge.pki.certificateToPem(cert),
        key: forge.pki.privateKeyToPem(keyPair.privateKey),
      };
    },
  };
}

function buildCertificate(
  publicKey: forge.pki.PublicKey,
  subject: forge.pki.CertificateField[],
  issuer: forge.pki.CertificateField[],
  extensions: object[],
): forge.pki.Certificate {
  const cert = forge.pki.createCertificate();
  cert.publicKey = publicKey;
  cert.serialNumber = formatSerialNumber(randomBytes(SERIAL_BYTES));
  cert.validity.notBefore = new Date(Date.now() - VALIDITY_MS);
  cert.validity.notAfter = new Date(Date.now() + VALIDITY_MS);
  cert.setSubject(subject);
  cert.setIssuer(issuer);
  cert.setExtensions(extensions);
  return cert;
}

/**
 * Formats random bytes as a serial number. Its first byte is from 0x40 to 0x7f: parsers reject
 * numbers with redundant zero bytes, which random bytes have now and then, and negative ones.
 */
export function formatSerialNumber(bytes: Buffer): string {
  const first = (bytes[0] & 0x3f) | 0x40;
  return Buffer.from([first, ...bytes.subarray(1)]).toString('hex');
}

import {createSecureContext} from 'node:tls';
import type {EventLog} from '@marigoldspur/event-log';
import {InvalidInput, toFault} from '@marigoldspur/faults';
import {KeyFile} from './key-file.js';

/** A certificate with its private key and, for mutual TLS, a certificate authority, in PEM. */
export interface PemTexts {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Options of PEM files. */
export interface PemFilesOptions {
  /** Path of the file that holds each text. */
  readonly files: PemTexts;
  readonly events: EventLog;
  /** Called with each later set of texts whose certificate and key match. */
  readonly onReload: (texts: PemTexts) => void;
  /** Interval at which the files are checked for changes, in milliseconds. */
  readonly pollMs?: number;
}

/**
 * PEM files that are reloaded when they change. While a certificate and its key do not
 * match, for example after only one of them has changed, the last matching ones stay in use.
 */
export class PemFiles {
  private texts: PemTexts;

  private constructor(
    private readonly files: PemKeyFiles,
    texts: PemTexts,
  ) {
    this.texts = texts;
  }

  /** Reads the files for the first time; throws `InvalidInput`. */
  static async open(options: PemFilesOptions): Promise<PemFiles> {
    const {files, events, pollMs} = options;
    const open = (file: string) =>
      KeyFile.open({
        file,
        parse: checkPem,
        events,
        pollMs,
        onReload: () => reload(),
      });
    const opened = {
      cert: await open(files.cert),
      key: await open(files.key),
      ca: files.ca === undefined ? undefined : await open(files.ca),
    };
    const pemFiles = new PemFiles(opened, matchingTexts(opened, files));
    const reload = () => {
      pemFiles.texts = matchingTexts(opened, files);
      options.onReload(pemFiles.texts);
    };
    return pemFiles;
  }

  /** The latest texts whose certificate and key match. */
  get current(): PemTexts {
    return this.texts;
  }

  /** Stops watching the files. */
  stop(): void {
    const {cert, key, ca} = this.files;
    [cert, key, ca].forEach(file => file?.stop());
  }
}

interface PemKeyFiles {
  readonly cert: KeyFile<string>;
  readonly key: KeyFile<string>;
  readonly ca?: KeyFile<string>;
}

/** Returns the current texts; throws `InvalidInput` if the certificate and the key do not match. */
function matchingTexts(opened: PemKeyFiles, files: PemTexts): PemTexts {
  const {cert, key, ca} = opened;
  const texts = {cert: cert.current, key: key.current, ca: ca?.current};
  try {
    createSecureContext(texts);
  } catch (thrown) {
    const place = Object.values(files).join(', ');
    throw new InvalidInput([{place, reason: toFault(thrown).message}]);
  }
  return texts;
}

function checkPem(text: string): string {
  if (!text.includes('-----BEGIN ')) {
    throw new InvalidInput([{place: '.', reason: 'is not a PEM file'}]);
  }
  return text;
}

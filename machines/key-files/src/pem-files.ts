import {createSecureContext} from 'node:tls';
import type {EventLog} from '@marigoldspur/event-log';
import {InvalidInput, toFault} from '@marigoldspur/faults';
import {KeyFile} from './key-file.js';

/** A certificate with its private key and, for mutual TLS, an authority, in PEM. */
export interface PemTexts {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Options of PEM files. */
export interface PemFilesOptions {
  /** Names of the files. */
  readonly files: PemTexts;
  readonly events: EventLog;
  /** Called with each set of texts after the first that belongs together. */
  readonly onReload: (texts: PemTexts) => void;
  /** Time between looks at the files, in milliseconds. */
  readonly pollMs?: number;
}

/**
 * PEM files that are read again when they change. While a certificate and its key do
 * not belong together, as between the changes of the two, the last good ones stay.
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
      KeyFile.open({file, parse: pem, events, pollMs, onReload: () => take()});
    const opened = {
      cert: await open(files.cert),
      key: await open(files.key),
      ca: files.ca === undefined ? undefined : await open(files.ca),
    };
    const pemFiles = new PemFiles(opened, checkedTexts(opened, files));
    const take = () => {
      pemFiles.texts = checkedTexts(opened, files);
      options.onReload(pemFiles.texts);
    };
    return pemFiles;
  }

  /** The latest texts that belong together. */
  get current(): PemTexts {
    return this.texts;
  }

  /** Ends the watching. */
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

/** Throws `InvalidInput` where the texts do not belong together. */
function checkedTexts(opened: PemKeyFiles, files: PemTexts): PemTexts {
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

function pem(text: string): string {
  if (!text.includes('-----BEGIN ')) {
    throw new InvalidInput([{place: '.', reason: 'is no PEM file'}]);
  }
  return text;
}

import {writeFile} from 'node:fs/promises';
import {referencePages} from './reference-pages.js';

for (const {file, text} of referencePages()) {
  await writeFile(file, text);
}

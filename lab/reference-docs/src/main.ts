import {writeFile} from 'node:fs/promises';
import {renderReferencePages} from './reference-pages.js';

for (const {file, text} of renderReferencePages()) {
  await writeFile(file, text);
}

import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {CATALOGUE} from '@marigoldspur/event-catalogue';
import {renderReferencePages} from '@marigoldspur/reference-docs';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const DOMAINS = ['control', 'entry', 'agent', 'zones', 'machines', 'platform'];

it('docs: the pages that are generated from the code are up to date', async () => {
  for (const {file, text} of renderReferencePages()) {
    const current = await readFile(path.join(ROOT, file), 'utf8');
    expect(current, `${file}: run npm run docs`).to.equal(text);
  }
});

it('docs: event numbers are unique', () => {
  const numbers = Object.values(CATALOGUE).map(definition => definition.number);
  expect(new Set(numbers).size).to.equal(numbers.length);
});

it('docs: every event of the catalogue is recorded in the source code', async () => {
  const texts = await Promise.all(DOMAINS.map(domain => readSource(domain)));
  const source = texts.join('\n');
  // Some names are built from a prefix, as in `member-${kind}`.
  const prefixes = [...source.matchAll(/record\(\s*`([a-z-]+-)\$\{/g)].map(
    match => match[1],
  );
  const unused = Object.keys(CATALOGUE)
    .filter(name => !source.includes(`'${name}'`))
    .filter(name => !prefixes.some(prefix => name.startsWith(prefix)));
  expect(unused).to.deep.equal([]);
});

/** Reads all source files of the packages in a top-level folder. */
async function readSource(domain: string): Promise<string> {
  const folder = path.join(ROOT, domain);
  const names = await readdir(folder, {recursive: true});
  const files = names.filter(
    name => /^[^/]+\/src\/.*\.ts$/.test(name) && !name.endsWith('.d.ts'),
  );
  const texts = await Promise.all(
    files.map(name => readFile(path.join(folder, name), 'utf8')),
  );
  return texts.join('\n');
}

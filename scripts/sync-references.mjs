/*
 * Writes the references of each tsconfig.json from the workspace dependencies in package.json.
 * With --check, only reports outdated files.
 */
import {existsSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '..');
const isCheckOnly = process.argv.includes('--check');

function readJson(file) {
  return JSON.parse(readFileSync(file, 'utf8'));
}

const folders = readJson(path.join(ROOT, 'package.json'))
  .workspaces.flatMap(pattern => {
    const domain = pattern.replace('/*', '');
    return readdirSync(path.join(ROOT, domain)).map(
      name => `${domain}/${name}`,
    );
  })
  .filter(folder => existsSync(path.join(ROOT, folder, 'package.json')));
const manifests = new Map(
  folders.map(folder => [
    folder,
    readJson(path.join(ROOT, folder, 'package.json')),
  ]),
);
const folderOf = new Map(
  [...manifests].map(([folder, manifest]) => [manifest.name, folder]),
);

let staleCount = 0;

function syncFile(file, value) {
  const text = `${JSON.stringify(value, null, 2)}\n`;
  let current = '';
  try {
    current = readFileSync(file, 'utf8');
  } catch {
    // The file does not exist yet in a new package.
  }
  if (current === text) {
    return;
  }
  staleCount += 1;
  console.log(
    `${isCheckOnly ? 'stale' : 'written'}: ${path.relative(ROOT, file)}`,
  );
  if (!isCheckOnly) {
    writeFileSync(file, text);
  }
}

for (const [folder, manifest] of manifests) {
  const names = Object.keys({
    ...manifest.dependencies,
    ...manifest.devDependencies,
  });
  const references = names
    .filter(name => folderOf.has(name))
    .map(name => ({path: path.relative(folder, folderOf.get(name))}));
  syncFile(path.join(ROOT, folder, 'tsconfig.json'), {
    extends: '../../tsconfig.base.json',
    compilerOptions: {rootDir: '.', outDir: 'lib'},
    include: ['src', 'test'],
    references,
  });
}
syncFile(path.join(ROOT, 'tsconfig.json'), {
  files: [],
  references: folders.map(folder => ({path: folder})),
});
process.exit(isCheckOnly && staleCount > 0 ? 1 : 0);

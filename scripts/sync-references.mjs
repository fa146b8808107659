/*
 * Writes the project references of each tsconfig.json from the workspace dependencies in
 * package.json. With --check, only reports outdated files, and exits with 1 if there are any.
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
    const parentFolder = pattern.replace('/*', '');
    return readdirSync(path.join(ROOT, parentFolder)).map(
      name => `${parentFolder}/${name}`,
    );
  })
  .filter(folder => existsSync(path.join(ROOT, folder, 'package.json')));
const manifestsByFolder = new Map(
  folders.map(folder => [
    folder,
    readJson(path.join(ROOT, folder, 'package.json')),
  ]),
);
const foldersByName = new Map(
  [...manifestsByFolder].map(([folder, manifest]) => [manifest.name, folder]),
);

let outdatedCount = 0;

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
  outdatedCount += 1;
  console.log(
    `${isCheckOnly ? 'outdated' : 'written'}: ${path.relative(ROOT, file)}`,
  );
  if (!isCheckOnly) {
    writeFileSync(file, text);
  }
}

for (const [folder, manifest] of manifestsByFolder) {
  const names = Object.keys({
    ...manifest.dependencies,
    ...manifest.devDependencies,
  });
  const references = names
    .filter(name => foldersByName.has(name))
    .map(name => ({path: path.relative(folder, foldersByName.get(name))}));
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
process.exit(isCheckOnly && outdatedCount > 0 ? 1 : 0);

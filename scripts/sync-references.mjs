/* Keeps the tsconfig references equal to the workspace dependencies; --check only reports. */
import {existsSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '..');
const checkOnly = process.argv.includes('--check');

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

let stale = 0;

function keep(file, value) {
  const text = `${JSON.stringify(value, null, 2)}\n`;
  let before = '';
  try {
    before = readFileSync(file, 'utf8');
  } catch {
    // A new package has no file yet.
  }
  if (before === text) {
    return;
  }
  stale += 1;
  console.log(
    `${checkOnly ? 'stale' : 'written'}: ${path.relative(ROOT, file)}`,
  );
  if (!checkOnly) {
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
  keep(path.join(ROOT, folder, 'tsconfig.json'), {
    extends: '../../tsconfig.base.json',
    compilerOptions: {rootDir: '.', outDir: 'lib'},
    include: ['src', 'test'],
    references,
  });
}
keep(path.join(ROOT, 'tsconfig.json'), {
  files: [],
  references: folders.map(folder => ({path: folder})),
});
process.exit(checkOnly && stale > 0 ? 1 : 0);

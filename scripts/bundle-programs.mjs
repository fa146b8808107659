/* Bundles each program of the platform from its sources into one file in target/, or in `--outdir`. */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {parseArgs} from 'node:util';
import {build} from 'esbuild';

const ROOT = path.resolve(import.meta.dirname, '..');
const PROGRAMS_FOLDER = path.join(ROOT, 'platform', 'programs', 'src');
const PROGRAM_NAMES = ['entry', 'control', 'agent'];
/** Defines `require`, with which CommonJS packages load the built-in modules of Node.js. */
const REQUIRE_BANNER =
  "import {createRequire as requireFrom} from 'node:module';const require=requireFrom(import.meta.url);";

/** Finds the source entry point of each workspace package, by package name. */
function findPackageSources() {
  const {workspaces} = JSON.parse(
    readFileSync(path.join(ROOT, 'package.json'), 'utf8'),
  );
  const folders = workspaces.flatMap(pattern => {
    const parentFolder = path.join(ROOT, pattern.replace('/*', ''));
    return readdirSync(parentFolder).map(name => path.join(parentFolder, name));
  });
  return new Map(
    folders
      .filter(folder => existsSync(path.join(folder, 'package.json')))
      .map(folder => [readName(folder), path.join(folder, 'src', 'index.ts')]),
  );
}

function readName(folder) {
  const manifest = path.join(folder, 'package.json');
  return JSON.parse(readFileSync(manifest, 'utf8')).name;
}

const {values: options} = parseArgs({
  options: {outdir: {type: 'string', default: path.join(ROOT, 'target')}},
});

const sourcesByName = findPackageSources();
const workspacePlugin = {
  name: 'workspace',
  setup(bundler) {
    bundler.onResolve({filter: /^@marigoldspur\//}, ({path: name}) => {
      const source = sourcesByName.get(name);
      // The compiled package, which esbuild would look for, is not there in a clean checkout.
      return source === undefined
        ? {errors: [{text: `no workspace package has the name "${name}"`}]}
        : {path: source, sideEffects: false};
    });
    // Only the programs import modules for their side effects, so unused modules of packages, and the
    // libraries that they import, can be left out.
    bundler.onResolve({filter: /^\.\/.*\.js$/}, ({importer, path: file}) =>
      importer.startsWith(PROGRAMS_FOLDER) || !importer.endsWith('.ts')
        ? undefined
        : {
            path: path.join(path.dirname(importer), file.replace(/js$/, 'ts')),
            sideEffects: false,
          },
    );
  },
};
/**
 * Imports the schema library as a namespace, so that its unused parts are left out. Its named export
 * `z` keeps all of it, which doubles the time that a program takes to load.
 */
const schemaLibraryPlugin = {
  name: 'schema-library',
  setup(bundler) {
    bundler.onLoad({filter: /\/src\/[^/]+\.ts$/}, ({path: file}) => ({
      contents: readFileSync(file, 'utf8').replace(
        "import {z} from 'zod';",
        "import * as z from 'zod';",
      ),
      loader: 'ts',
    }));
  },
};

await build({
  entryPoints: Object.fromEntries(
    PROGRAM_NAMES.map(name => [name, path.join(PROGRAMS_FOLDER, `${name}.ts`)]),
  ),
  outdir: options.outdir,
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {js: REQUIRE_BANNER},
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: false,
  logLevel: 'warning',
  plugins: [workspacePlugin, schemaLibraryPlugin],
});

/* Bundles each program of the platform, from its sources, into one file below target/. */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {build} from 'esbuild';

const ROOT = path.resolve(import.meta.dirname, '..');
const PROGRAMS = path.join(ROOT, 'platform', 'programs', 'src');
const NAMES = ['entry', 'control', 'agent'];
/** Packages in CommonJS form ask for Node's own modules by `require`. */
const REQUIRE =
  "import {createRequire as requireFrom} from 'node:module';const require=requireFrom(import.meta.url);";

/** Source folders of the workspace's packages, by name. */
function packageSources() {
  const {workspaces} = JSON.parse(
    readFileSync(path.join(ROOT, 'package.json'), 'utf8'),
  );
  const folders = workspaces.flatMap(pattern => {
    const domain = path.join(ROOT, pattern.replace('/*', ''));
    return readdirSync(domain).map(name => path.join(domain, name));
  });
  return new Map(
    folders.map(folder => [
      `@marigoldspur/${path.basename(folder)}`,
      path.join(folder, 'src', 'index.ts'),
    ]),
  );
}

const sources = packageSources();
const workspace = {
  name: 'workspace',
  setup(bundler) {
    bundler.onResolve({filter: /^@marigoldspur\//}, ({path: name}) => ({
      path: sources.get(name),
      sideEffects: false,
    }));
  },
};

await build({
  entryPoints: Object.fromEntries(
    NAMES.map(name => [name, path.join(PROGRAMS, `${name}.ts`)]),
  ),
  outdir: path.join(ROOT, 'target'),
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {js: REQUIRE},
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
  plugins: [workspace],
});

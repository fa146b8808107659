/**
 * Returns the URL of a request path on the host of `base`. The path is not resolved as a
 * relative reference, since one that starts with two slashes, or a complete URL, would then
 * name another host.
 */
export function urlForPath(base: string, path: string): URL {
  const {origin} = new URL(base);
  return new URL(`${origin}${path.startsWith('/') ? '' : '/'}${path}`);
}

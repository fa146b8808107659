/**
 * The URL of a request's path at the host of `base`. Resolved as a relative reference, a
 * path that begins with two slashes, or a whole URL, would name another host.
 */
export function urlForPath(base: string, path: string): URL {
  const {origin} = new URL(base);
  return new URL(`${origin}${path.startsWith('/') ? '' : '/'}${path}`);
}

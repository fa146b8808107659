/**
 * Creates the environment variables that redirect the connections of a process. `ports`
 * maps each requested loopback port to the port that it is replaced by.
 */
export function createRedirectVariables(
  ports: Readonly<Record<number, number>>,
): NodeJS.ProcessEnv {
  const module = new URL('./redirect.js', import.meta.url);
  return {
    NODE_OPTIONS: `--import ${module.href}`,
    MARIGOLDSPUR_LAB_REDIRECT: JSON.stringify(ports),
  };
}

/** Environment variables that redirect the connections of a process from some loopback ports to others. */
export function redirectVariables(
  ports: Readonly<Record<number, number>>,
): NodeJS.ProcessEnv {
  const module = new URL('./redirect.js', import.meta.url);
  return {
    NODE_OPTIONS: `--import ${module.href}`,
    MARIGOLDSPUR_LAB_REDIRECT: JSON.stringify(ports),
  };
}

/** Environment of a process whose connections to some ports of loopback go to others. */
export function redirectVariables(
  ports: Readonly<Record<number, number>>,
): NodeJS.ProcessEnv {
  const module = new URL('./redirect.js', import.meta.url);
  return {
    NODE_OPTIONS: `--import ${module.href}`,
    MARIGOLDSPUR_LAB_REDIRECT: JSON.stringify(ports),
  };
}

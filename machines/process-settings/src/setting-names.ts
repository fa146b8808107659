const VARIABLE_PREFIX = 'MARIGOLDSPUR_';

/** The flag of a setting: `controlUrls` is `--control-urls`. */
export function flagName(setting: string): string {
  return setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** The environment variable of a setting: `controlUrls` is `MARIGOLDSPUR_CONTROL_URLS`. */
export function variableName(setting: string): string {
  return VARIABLE_PREFIX + flagName(setting).replace(/-/g, '_').toUpperCase();
}

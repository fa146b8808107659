const VARIABLE_PREFIX = 'MARIGOLDSPUR_';

/** Returns the flag of a setting: `control-urls` for `controlUrls`. */
export function flagName(setting: string): string {
  return setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** Returns the environment variable of a setting: `MARIGOLDSPUR_CONTROL_URLS` for `controlUrls`. */
export function variableName(setting: string): string {
  return VARIABLE_PREFIX + flagName(setting).replace(/-/g, '_').toUpperCase();
}

/** Version that all programs share. */
export const VERSION = '0.1.0';

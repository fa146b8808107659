/** Version of the programs, the same for all of them. */
export const VERSION = '0.1.0';

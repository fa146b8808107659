import {z} from 'zod';
import {BOOLEAN_SCHEMA} from '@marigoldspur/process-settings';

const FILE_SCHEMA = z.string().min(1).optional();

/** Settings of the links between processes, part of each process's settings. */
export const LINK_SETTINGS = {
  trustedNetwork: BOOLEAN_SCHEMA.optional().describe(
    'Whether only processes of the system can reach the address, so that no keys are needed',
  ),
  host: z.string().default('127.0.0.1').describe('Address to listen on'),
  tlsCert: FILE_SCHEMA.describe(
    'Certificate of the process, PEM file; without it only loopback is served',
  ),
  tlsKey: FILE_SCHEMA.describe('Private key of the certificate, PEM file'),
  tlsCa: FILE_SCHEMA.describe(
    'Certificate authority of all processes of the system, PEM file',
  ),
  operatorTokens: FILE_SCHEMA.describe(
    'Tokens of operators, JSON or YAML file',
  ),
};

/** The settings of the links alone. */
export const LINK_SETTINGS_SCHEMA = z.object(LINK_SETTINGS);

/** Settings of the links between processes. */
export type LinkSettings = z.infer<typeof LINK_SETTINGS_SCHEMA>;

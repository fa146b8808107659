import {z} from 'zod';
import {BOOLEAN_SCHEMA} from '@marigoldspur/process-settings';

const FILE_SCHEMA = z.string().min(1).optional();

/** Settings of the connections between processes, which are part of every process's settings. */
export const LINK_SETTINGS = {
  trustedNetwork: BOOLEAN_SCHEMA.optional().describe(
    'Whether only processes of the system can reach the address, so that no TLS keys are needed',
  ),
  host: z.string().default('127.0.0.1').describe('Address to listen on'),
  tlsCert: FILE_SCHEMA.describe(
    'Certificate of the process, PEM file; without it the process listens on loopback only',
  ),
  tlsKey: FILE_SCHEMA.describe('Private key of the certificate, PEM file'),
  tlsCa: FILE_SCHEMA.describe(
    'Certificate authority of all processes of the system, PEM file',
  ),
  operatorTokens: FILE_SCHEMA.describe(
    'Tokens of operators, JSON or YAML file',
  ),
};

/** The settings of the connections alone. */
export const LINK_SETTINGS_SCHEMA = z.object(LINK_SETTINGS);

/** Settings of the connections between processes. */
export type LinkSettings = z.infer<typeof LINK_SETTINGS_SCHEMA>;

import {z} from 'zod';

/**
 * Path at which a replica of control confirms its active deployment with a quorum. The read
 * barrier starts after the request arrives.
 */
export const DEPLOYMENT_CONFIRMATION_PATH = '/deployment-confirmation';

/** The deployment that was active when the request arrived, or a later one. */
export const DEPLOYMENT_CONFIRMATION_SCHEMA = z.object({
  /** Revision of the active deployment; null if there is none. */
  revision: z.int().min(0).nullable(),
});

/** The deployment that was active when the request arrived, or a later one. */
export type DeploymentConfirmation = z.infer<
  typeof DEPLOYMENT_CONFIRMATION_SCHEMA
>;

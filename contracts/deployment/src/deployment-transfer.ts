import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {DeploymentText} from './fleet-messages.js';

/** Path at which a replica of control sends its active deployment. */
export const DEPLOYMENT_TRANSFER_PATH = '/deployment-transfer';

/** Identifies a deployment without its text. */
export const DEPLOYMENT_HEAD_SCHEMA = z.object({
  revision: z.int().min(0),
  /** SHA-256 of the text, as base64url. */
  digest: z.string().min(1).max(64),
});

/** Identifies a deployment without its text. */
export type DeploymentHead = z.infer<typeof DEPLOYMENT_HEAD_SCHEMA>;

/** Asks a replica for its active deployment. */
export const DEPLOYMENT_REQUEST_SCHEMA = z.object({
  /** The deployment that the sender has. */
  known: DEPLOYMENT_HEAD_SCHEMA.optional(),
});

/** Asks a replica for its active deployment. */
export type DeploymentRequest = z.infer<typeof DEPLOYMENT_REQUEST_SCHEMA>;

/** The active deployment of a replica; both fields are absent if it has none. */
export const DEPLOYMENT_TRANSFER_SCHEMA = z.object({
  deployment: DEPLOYMENT_HEAD_SCHEMA.optional(),
  /** Whether the content is the difference from the text that the sender of the request has. */
  isDelta: z.boolean().optional(),
  /** The text or the difference, compressed with gzip, as base64. */
  content: z.base64().optional(),
});

/** The active deployment of a replica. */
export type DeploymentTransfer = z.infer<typeof DEPLOYMENT_TRANSFER_SCHEMA>;

/** Returns the head of a deployment. */
export function createDeploymentHead({
  revision,
  text,
}: DeploymentText): DeploymentHead {
  const digest = createHash('sha256').update(text).digest('base64url');
  return {revision, digest};
}

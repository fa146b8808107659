import {gunzipSync} from 'node:zlib';
import {applyDelta} from 'fossil-delta';
import {Result} from 'true-myth';
import {
  createDeploymentHead,
  type DeploymentText,
  type DeploymentTransfer,
} from '@marigoldspur/deployment';
import {Fault} from '@marigoldspur/faults';

/** Maximum size of the text of a deployment, in bytes. */
const MAX_TEXT_BYTES = 33_554_432;

/**
 * Restores the deployment in a transfer; `known` is the one that the request named. Undefined
 * if the replica has no deployment; fails with `CORRUPT_DATA` if the text does not have the
 * stated digest.
 */
export function readTransfer(
  {content, deployment, isDelta = false}: DeploymentTransfer,
  known: DeploymentText | undefined,
): Result<DeploymentText | undefined, Fault> {
  if (deployment === undefined || content === undefined) {
    return Result.ok(undefined);
  }
  const {revision} = deployment;
  try {
    const text = decode(Buffer.from(content, 'base64'), isDelta, known);
    const {digest} = createDeploymentHead({revision, text});
    return digest === deployment.digest
      ? Result.ok({revision, text})
      : Result.err(corrupt(revision, 'its text has another digest'));
  } catch (thrown) {
    return Result.err(corrupt(revision, String(thrown)));
  }
}

function decode(
  content: Buffer,
  isDelta: boolean,
  known: DeploymentText | undefined,
): string {
  const bytes = gunzipSync(content, {maxOutputLength: MAX_TEXT_BYTES});
  if (!isDelta) {
    return bytes.toString();
  }
  const text = applyDelta<Uint8Array>(Buffer.from(known?.text ?? ''), bytes);
  return Buffer.from(text).toString();
}

function corrupt(revision: number, reason: string): Fault {
  return new Fault(
    'CORRUPT_DATA',
    `deployment ${revision} was not transferred: ${reason}`,
  );
}

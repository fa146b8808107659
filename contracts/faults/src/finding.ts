import type {ZodError} from 'zod';

/** One problem of an input, and its place. */
export interface Finding {
  /** The flag, variable, path or field that the finding is about. */
  readonly place: string;
  /** What is wrong, in one sentence. */
  readonly reason: string;
}

/** Converts schema issues to findings, with places below `root`. */
export function schemaFindings(error: ZodError, root = ''): Finding[] {
  return error.issues.map(issue => ({
    place: [root, ...issue.path.map(String)].filter(Boolean).join('.') || '.',
    reason: issue.message,
  }));
}

/** Formats findings for people, one per line. */
export function formatFindings(findings: readonly Finding[]): string {
  return findings
    .map(finding => `${finding.place}: ${finding.reason}`)
    .join('\n');
}

import type {ZodError} from 'zod';

/** One thing wrong with an input, and where it stands. */
export interface Finding {
  /** The flag, variable, path or field that the finding is about. */
  readonly place: string;
  /** What is wrong, in one sentence. */
  readonly reason: string;
}

/** Turns the issues of a schema check into findings, each placed below `root`. */
export function schemaFindings(error: ZodError, root = ''): Finding[] {
  return error.issues.map(issue => ({
    place: [root, ...issue.path.map(String)].filter(Boolean).join('.') || '.',
    reason: issue.message,
  }));
}

/** Renders findings for people, one a line. */
export function formatFindings(findings: readonly Finding[]): string {
  return findings
    .map(finding => `${finding.place}: ${finding.reason}`)
    .join('\n');
}

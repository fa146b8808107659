/** One kind of event: its stable number and what it means. */
export interface EventKind {
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly meaning: string;
}

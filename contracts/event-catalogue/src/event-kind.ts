/** One kind of event, with its stable number and its meaning. */
export interface EventKind {
  readonly number: number;
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly meaning: string;
}

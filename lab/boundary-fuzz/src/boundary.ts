import type fc from 'fast-check';

/** Where messages from outside reach a system. */
export interface Boundary<Content = unknown> {
  readonly name: string;
  /** How often it is chosen, relative to the others. */
  readonly weight: number;
  /** What messages may contain: values that JSON can hold. */
  readonly contents: fc.Arbitrary<Content>;
  /** Sends a message; resolves to what is wrong with what came back. */
  play(content: Content): Promise<readonly string[]>;
}

/** A message as it is reported. */
export interface FuzzMessage {
  /** Name of its boundary. */
  readonly boundary: string;
  readonly content: unknown;
}

/** A running system and its boundaries. */
export interface FuzzedSystem {
  readonly boundaries: readonly Boundary[];
  /** Resolves to what is wrong with the system now. */
  findFaults(): Promise<readonly string[]>;
  /** Makes the system sound again after a fault. */
  restore(): Promise<void>;
}

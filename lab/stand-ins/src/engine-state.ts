import {randomUUID} from 'node:crypto';
import {setTimeout as pause} from 'node:timers/promises';
import {ENGINE_FAULTS_SCHEMA, type EngineFaults} from './engine-faults.js';

const FREEZE_POLL_MS = 10;

/** Counted faults, each used up by one. */
export type CountedFault = {
  [Name in keyof EngineFaults]: EngineFaults[Name] extends number
    ? Name
    : never;
}[keyof EngineFaults];

/** The boot of an engine stand-in and the faults that are switched on. */
export class EngineState {
  private bootId = randomUUID();
  private current: EngineFaults = ENGINE_FAULTS_SCHEMA.parse({});

  /** Boot identity. */
  get boot(): string {
    return this.bootId;
  }

  get faults(): EngineFaults {
    return this.current;
  }

  /** Replaces all faults. */
  setFaults(faults: EngineFaults): void {
    this.current = faults;
  }

  /** Begins a new boot. */
  restart(): void {
    this.bootId = randomUUID();
  }

  /** Uses a counted fault up by one; false where none is left. */
  take(name: CountedFault): boolean {
    if (this.current[name] <= 0) {
      return false;
    }
    this.current[name] -= 1;
    return true;
  }

  /** Resolves once the engine is not frozen. */
  async thawed(): Promise<void> {
    while (this.current.freeze) {
      await pause(FREEZE_POLL_MS);
    }
  }
}

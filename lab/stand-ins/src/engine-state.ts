import {randomUUID} from 'node:crypto';
import {setTimeout as pause} from 'node:timers/promises';
import {ENGINE_FAULTS_SCHEMA, type EngineFaults} from './engine-faults.js';

const FREEZE_POLL_MS = 10;

/** Names of the faults that are counters. */
export type CountedFault = {
  [Name in keyof EngineFaults]: EngineFaults[Name] extends number
    ? Name
    : never;
}[keyof EngineFaults];

/** The boot ID of an engine stand-in and its injected faults. */
export class EngineState {
  private bootId = randomUUID();
  private activeFaults: EngineFaults = ENGINE_FAULTS_SCHEMA.parse({});

  /** Boot ID, which changes with each restart. */
  get boot(): string {
    return this.bootId;
  }

  get faults(): EngineFaults {
    return this.activeFaults;
  }

  /** Replaces all faults. */
  setFaults(faults: EngineFaults): void {
    this.activeFaults = faults;
  }

  /** Changes the boot ID, as an engine restart does. */
  startNewBoot(): void {
    this.bootId = randomUUID();
  }

  /** Decrements a counted fault; returns false when its count is already 0. */
  consumeFault(name: CountedFault): boolean {
    if (this.activeFaults[name] <= 0) {
      return false;
    }
    this.activeFaults[name] -= 1;
    return true;
  }

  /** Resolves when the engine is not frozen. */
  async waitWhileFrozen(): Promise<void> {
    while (this.activeFaults.freeze) {
      await pause(FREEZE_POLL_MS);
    }
  }
}

import {createPlacement, type PlacementName} from './create-placement.js';
import type {Placement} from './placement.js';

/** What the settings of a service say about placement. */
export interface PlacementSettings {
  readonly placement: PlacementName;
  /** Weight of load stalls against batch efficiency: 1 is stalls only. */
  readonly stallWeight: number;
}

interface NamedPlacement {
  readonly settings: PlacementSettings;
  readonly placement: Placement;
}

/** One placement for each service, since some keep state; a new one when its settings change. */
export class PlacementSet {
  private readonly placements = new Map<string, NamedPlacement>();

  /** `random` gives numbers from 0 up to, not including, 1. */
  constructor(private readonly random: () => number) {}

  /** The placement of a service under its settings now in force. */
  of(service: string, settings: PlacementSettings): Placement {
    const known = this.placements.get(service);
    if (
      known?.settings.placement === settings.placement &&
      known.settings.stallWeight === settings.stallWeight
    ) {
      return known.placement;
    }
    const {placement: name, stallWeight} = settings;
    const placement = createPlacement(name, this.random, {stallWeight});
    this.placements.set(service, {
      settings: {placement: name, stallWeight},
      placement,
    });
    return placement;
  }
}

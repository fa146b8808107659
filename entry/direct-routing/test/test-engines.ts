import type {
  EngineView,
  Service,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import {
  TargetFinder,
  TargetSelector,
  type ModelWork,
} from '@marigoldspur/direct-routing';

export const ROUTE = {name: 'r', streaming: true, timeoutMs: 60_000};
const SLOTS = 64;

/** The announcement of the engine with an index. */
export function createEngine(
  index: number,
  models: readonly string[] = ['m'],
): TargetAnnouncement {
  return {
    id: `e${index}`,
    bornAt: 1,
    sequence: 1,
    service: 's',
    address: `10.0.0.${index}:80`,
    zone: 'z',
    slots: SLOTS,
    leaving: false,
    models: [...models],
  };
}

/** The state of an idle engine with changes. */
export function createView(changes: Partial<EngineView> = {}): EngineView {
  return {
    bornAt: 1,
    answers: true,
    models: ['m'],
    adapters: [],
    loading: [],
    awaited: [],
    takenSlots: 0,
    waiting: 0,
    running: 0,
    memoryUsed: 0,
    ...changes,
  };
}

/** Selects among engines in these states. */
export function createSelector(views: readonly EngineView[]): TargetSelector {
  const targets = views.map(({models}, index) => createEngine(index, models));
  return new TargetSelector({
    zone: 'z',
    targets: () => targets,
    engineView: address => views[targets.findIndex(t => t.address === address)],
    random: () => 0.5,
  });
}

/** Finds an engine for a call. */
export function findEngine(
  selector: TargetSelector,
  {service, work}: {readonly service: Service; readonly work: ModelWork},
) {
  const finder = new TargetFinder({
    fleetView: {versionOf: () => undefined},
    selector,
    adapterPreparer: {prepare: async () => true},
    crashMonitor: {findBlock: () => undefined, recordRefusal: () => {}},
    requestCrashes: {findBlock: () => undefined, refuse: () => undefined},
    targetLimits: {
      isLimited: () => false,
      busyTargets: () => [],
      acquire: async () => ({isGranted: true, waitMs: 0}),
    },
    random: () => 0.5,
  } as never);
  const call = {
    metadata: {id: 'c', work},
    route: ROUTE,
    service,
    startedAt: performance.now(),
    signal: new AbortController().signal,
  };
  return finder.find(call as never, new Set(), performance.now());
}

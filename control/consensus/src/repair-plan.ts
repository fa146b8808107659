import {
  replicasOf,
  type Configuration,
  type ReplicaAddress,
} from './configuration.js';

/** A replica that answers at one of the group's URLs. */
export interface Sighting extends ReplicaAddress {
  /** The group that it belongs to; empty where its data folder is new. */
  readonly group: string;
}

/** What a leader plans repairs with. */
export interface RepairView {
  readonly group: string;
  readonly configuration: Configuration;
  /** Replicas that answer at the configured URLs, the leader left out. */
  readonly sightings: readonly Sighting[];
  /** Whether a replica holds, synced, everything that is committed. */
  readonly isCaughtUp: (id: string) => boolean;
}

/**
 * The next step towards a voter at each configured URL; undefined when there is
 * none to take. A replica that answers with an unknown identity becomes a
 * learner; once it is caught up, the voter that it replaces leaves first, so that
 * a copy that is gone never counts in a majority beside its replacement.
 */
export function nextConfiguration(view: RepairView): Configuration | undefined {
  return promotion(view) ?? admission(view);
}

function promotion(view: RepairView): Configuration | undefined {
  const {voters, learners} = view.configuration;
  const learner = learners.find(({id}) => view.isCaughtUp(id));
  if (learner === undefined) {
    return undefined;
  }
  const remaining = voters.filter(voter => voter.url !== learner.url);
  if (remaining.length < voters.length) {
    return {voters: remaining, learners};
  }
  return {
    voters: [...voters, learner],
    learners: learners.filter(({id}) => id !== learner.id),
  };
}

function admission(view: RepairView): Configuration | undefined {
  const {voters, learners} = view.configuration;
  const known = replicasOf(view.configuration);
  const stranger = view.sightings.find(
    sighting =>
      !known.some(({id}) => id === sighting.id) &&
      (sighting.group === '' || sighting.group === view.group),
  );
  if (stranger === undefined) {
    return undefined;
  }
  const others = learners.filter(({url}) => url !== stranger.url);
  const {id, url} = stranger;
  return {voters, learners: [...others, {id, url}]};
}

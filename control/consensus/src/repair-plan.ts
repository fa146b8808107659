import {
  isVoter,
  replicasOf,
  type Configuration,
  type ReplicaAddress,
} from './configuration.js';

/** A replica that answers at one of the group's URLs. */
export interface DiscoveredReplica extends ReplicaAddress {
  /** The group that it belongs to; empty where its data folder is new. */
  readonly group: string;
}

/** What a leader plans repairs with. */
export interface RepairInput {
  readonly group: string;
  readonly configuration: Configuration;
  /** Replicas that answer at the configured URLs, the leader left out. */
  readonly discoveredReplicas: readonly DiscoveredReplica[];
  /** Whether a replica holds, synced, everything that is committed. */
  readonly isCaughtUp: (id: string) => boolean;
  /**
   * Voters that the group is to have, where a replica at any URL may replace one that
   * is lost; undefined where there is to be one at each configured URL.
   */
  readonly desiredVoters?: number;
  /** Whether a replica has not answered for so long that it may be replaced. */
  readonly isLost?: (id: string) => boolean;
}

/**
 * The next step towards a caught-up voter at each configured URL; undefined when
 * there is none to take. A replica that answers with an unknown identity becomes a
 * learner; once it is caught up, the voter that it replaces leaves first, so that
 * a copy that is gone never counts in a majority beside its replacement. The last
 * step confirms that it holds the entry too by which it became a voter.
 */
export function nextConfiguration(
  view: RepairInput,
): Configuration | undefined {
  return (
    confirmation(view) ?? promotion(view) ?? admission(view) ?? dismissal(view)
  );
}

/** The replicas whose repair a change of the configuration declares done. */
export function repairedReplicas(
  before: Configuration,
  after: Configuration,
): ReplicaAddress[] {
  return (before.unconfirmed ?? []).filter(
    ({id}) =>
      isVoter(after, id) &&
      !(after.unconfirmed ?? []).some(other => other.id === id),
  );
}

function confirmation(view: RepairInput): Configuration | undefined {
  const {configuration} = view;
  const {unconfirmed = []} = configuration;
  const waiting = unconfirmed.filter(({id}) => !view.isCaughtUp(id));
  return waiting.length < unconfirmed.length
    ? {...configuration, unconfirmed: waiting}
    : undefined;
}

function promotion(view: RepairInput): Configuration | undefined {
  const {voters, learners, unconfirmed = []} = view.configuration;
  const learner = learners.find(({id}) => view.isCaughtUp(id));
  if (learner === undefined) {
    return undefined;
  }
  const remaining = voters.filter(voter => voter.url !== learner.url);
  const replaced = unconfirmed.filter(({url}) => url !== learner.url);
  if (remaining.length < voters.length) {
    return {voters: remaining, learners, unconfirmed: replaced};
  }
  if (voters.length >= (view.desiredVoters ?? Infinity)) {
    return withoutLostVoter(view);
  }
  return {
    voters: [...voters, learner],
    learners: learners.filter(({id}) => id !== learner.id),
    unconfirmed: [...replaced, learner],
  };
}

/** Makes room for a learner; undefined while each voter is needed. */
function withoutLostVoter(view: RepairInput): Configuration | undefined {
  const {voters, learners, unconfirmed = []} = view.configuration;
  const lost = voters.find(({id}) => view.isLost?.(id));
  return lost === undefined
    ? undefined
    : {
        voters: voters.filter(voter => voter !== lost),
        learners,
        unconfirmed: unconfirmed.filter(({id}) => id !== lost.id),
      };
}

/** Drops a learner that is lost; one that comes back is admitted again. */
function dismissal(view: RepairInput): Configuration | undefined {
  const {configuration, desiredVoters, isLost} = view;
  const {learners} = configuration;
  const lost =
    desiredVoters === undefined
      ? undefined
      : learners.find(({id}) => isLost?.(id));
  return lost === undefined
    ? undefined
    : {
        ...configuration,
        learners: learners.filter(learner => learner !== lost),
      };
}

function admission(view: RepairInput): Configuration | undefined {
  const {configuration} = view;
  const known = replicasOf(configuration);
  const stranger = view.discoveredReplicas.find(
    sighting =>
      !known.some(({id}) => id === sighting.id) &&
      (sighting.group === '' || sighting.group === view.group),
  );
  if (stranger === undefined) {
    return undefined;
  }
  const {id, url} = stranger;
  const others = configuration.learners.filter(other => other.url !== url);
  return {...configuration, learners: [...others, {id, url}]};
}

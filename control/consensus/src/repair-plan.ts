import {
  isVoter,
  replicasOf,
  type Configuration,
  type ReplicaAddress,
} from './configuration.js';

/** A replica that responded at one of the group's URLs. */
export interface DiscoveredReplica extends ReplicaAddress {
  /** ID of the group it belongs to; empty if its data folder is new. */
  readonly group: string;
}

/** The inputs from which the leader plans a repair. */
export interface RepairInput {
  readonly group: string;
  readonly configuration: Configuration;
  /** Replicas that responded at the configured URLs, without the leader. */
  readonly discoveredReplicas: readonly DiscoveredReplica[];
  /** Whether a replica has synced all committed entries. */
  readonly isCaughtUp: (id: string) => boolean;
  /**
   * Desired number of voters, if a replica at any URL may replace a lost one;
   * undefined if there must be one voter at each configured URL.
   */
  readonly desiredVoters?: number;
  /** Whether a replica has been silent long enough to be replaced. */
  readonly isLost?: (id: string) => boolean;
}

/**
 * Returns the next configuration on the way to a caught-up voter at each configured
 * URL, or undefined if no change is needed. A replica that responds with an unknown
 * ID becomes a learner. Once the learner has caught up, the voter that it replaces is
 * removed first, so that a lost copy and its replacement never count towards a
 * majority together. The last step confirms that the new voter also holds the entry
 * that made it a voter.
 */
export function nextConfiguration(
  input: RepairInput,
): Configuration | undefined {
  return (
    confirmReplacements(input) ??
    promoteLearner(input) ??
    addLearner(input) ??
    removeLostLearner(input)
  );
}

/** The replicas whose repair a configuration change marks as complete. */
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

function confirmReplacements(input: RepairInput): Configuration | undefined {
  const {configuration} = input;
  const {unconfirmed = []} = configuration;
  const remaining = unconfirmed.filter(({id}) => !input.isCaughtUp(id));
  return remaining.length < unconfirmed.length
    ? {...configuration, unconfirmed: remaining}
    : undefined;
}

function promoteLearner(input: RepairInput): Configuration | undefined {
  const {voters, learners, unconfirmed = []} = input.configuration;
  const learner = learners.find(({id}) => input.isCaughtUp(id));
  if (learner === undefined) {
    return undefined;
  }
  const remaining = voters.filter(voter => voter.url !== learner.url);
  const replaced = unconfirmed.filter(({url}) => url !== learner.url);
  if (remaining.length < voters.length) {
    return {voters: remaining, learners, unconfirmed: replaced};
  }
  if (voters.length >= (input.desiredVoters ?? Infinity)) {
    return removeLostVoter(input);
  }
  return {
    voters: [...voters, learner],
    learners: learners.filter(({id}) => id !== learner.id),
    unconfirmed: [...replaced, learner],
  };
}

/** Removes a lost voter to make room for a learner; undefined if no voter is lost. */
function removeLostVoter(input: RepairInput): Configuration | undefined {
  const {voters, learners, unconfirmed = []} = input.configuration;
  const lost = voters.find(({id}) => input.isLost?.(id));
  return lost === undefined
    ? undefined
    : {
        voters: voters.filter(voter => voter !== lost),
        learners,
        unconfirmed: unconfirmed.filter(({id}) => id !== lost.id),
      };
}

/** Removes a lost learner; a learner that comes back is added again. */
function removeLostLearner(input: RepairInput): Configuration | undefined {
  const {configuration, desiredVoters, isLost} = input;
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

function addLearner(input: RepairInput): Configuration | undefined {
  const {configuration} = input;
  const known = replicasOf(configuration);
  const newReplica = input.discoveredReplicas.find(
    replica =>
      !known.some(({id}) => id === replica.id) &&
      (replica.group === '' || replica.group === input.group),
  );
  if (newReplica === undefined) {
    return undefined;
  }
  const {id, url} = newReplica;
  const others = configuration.learners.filter(other => other.url !== url);
  return {...configuration, learners: [...others, {id, url}]};
}

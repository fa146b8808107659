import {isVoter, replicasOf, type Consensus} from '@marigoldspur/consensus';
import type {LogStatus, ReplicaStatus} from './replicated-log.js';

/** Returns the status of a replica. */
export function logStatus(
  consensus: Consensus,
  details: Pick<LogStatus, 'leaderUrl' | 'diskFull' | 'diskFailed'>,
): LogStatus {
  return {
    role: roleOf(consensus),
    term: consensus.term,
    leaderUrl: details.leaderUrl,
    commitIndex: consensus.commitIndex,
    lastIndex: consensus.lastIndex,
    voters: consensus.configuration.voters.map(voter => voter.id),
    replica: consensus.id,
    group: consensus.group,
    appliedIndex: consensus.appliedIndex,
    replicas: replicaStatuses(consensus),
    diskFull: details.diskFull,
    diskFailed: details.diskFailed,
  };
}

function roleOf(consensus: Consensus): LogStatus['role'] {
  const {role, configuration, id} = consensus;
  if (role === 'leader' || role === 'candidate') {
    return role;
  }
  return isVoter(configuration, id) ? 'follower' : 'learner';
}

function replicaStatuses(consensus: Consensus): ReplicaStatus[] {
  const {configuration, lastIndex, id: ownId} = consensus;
  return replicasOf(configuration).map(({id, url}) => ({
    id,
    url,
    role: isVoter(configuration, id) ? 'voter' : 'learner',
    matchIndex: id === ownId ? lastIndex : consensus.progressOf(id)?.matchIndex,
  }));
}

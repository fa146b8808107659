import {expect} from 'chai';
import fc from 'fast-check';
import type {Entry, HardState, LogOperation} from '@marigoldspur/consensus';
import {openLogStorage, type OpenedStorage} from '@marigoldspur/log-storage';
import {PowerLost, UnreliableDisk, type Choice} from './unreliable-disk.js';

const FOLDER = '/data/log';
const SEGMENT_BYTES = 400;
const CONFIGURATION = {voters: [{id: 'a', url: 'url'}], learners: []};
const LIVES = 3;
const MAX_OPERATIONS = 150;
const TIMEOUT_MS = 300_000;
const RUNS = {
  seed: Number(process.env['MODEL_SEED'] ?? 45),
  numRuns: Number(process.env['MODEL_RUNS'] ?? 300),
};

/** What a replica has stored. */
interface Content {
  readonly state: HardState;
  /** Index and term of the snapshot; 0 if there is none. */
  readonly snapshot: {readonly index: number; readonly term: number};
  readonly entries: readonly Entry[];
}

/** A call of the storage, and the content once it has succeeded. */
interface Call {
  readonly after: Content;
  readonly run: (opened: OpenedStorage) => Promise<void>;
}

const EMPTY: Content = {
  state: {group: '', term: 0, vote: ''},
  snapshot: {index: 0, term: 0},
  entries: [],
};

function lastIndex({entries, snapshot}: Content): number {
  return entries.at(-1)?.index ?? snapshot.index;
}

function saveCall(after: Content, ...operations: LogOperation[]): Call {
  return {after, run: ({storage}) => storage.save(operations)};
}

function voteCall(content: Content): Call {
  const term = content.state.term + 1;
  const state = {group: 'group', term, vote: `candidate of ${term}`};
  return saveCall({...content, state}, {operation: 'state', state});
}

/** Appends entries, in place of some of those that the last snapshot doesn't cover. */
function appendCall(content: Content, choose: Choice): Call {
  const kept = content.entries.slice(
    0,
    content.entries.length - choose(2) * choose(content.entries.length),
  );
  const first = lastIndex({...content, entries: kept}) + 1;
  const {term} = content.state;
  const entries = Array.from({length: 1 + choose(3)}, (_, offset): Entry => {
    const command = `${term}-${first + offset} `.repeat(1 + choose(20));
    return {
      index: first + offset,
      term,
      bytes: command.length,
      content: {kind: 'command', command},
    };
  });
  return saveCall(
    {...content, entries: [...kept, ...entries]},
    {operation: 'entries', entries},
  );
}

function snapshotCall(content: Content, choose: Choice): Call {
  const {entries} = content;
  const covered = choose(entries.length);
  const {index, term} = entries[covered - 1] ?? content.snapshot;
  const after = {
    ...content,
    snapshot: {index, term},
    entries: entries.slice(covered),
  };
  const data = `up to ${index}`;
  return {
    after,
    run: async ({storage}) => {
      if (covered > 0) {
        const configuration = CONFIGURATION;
        await storage.saveSnapshot({index, term, configuration, data});
      }
    },
  };
}

function installCall(content: Content, choose: Choice): Call {
  const {term} = content.state;
  const index = lastIndex(content) + 1 + choose(3);
  const data = `up to ${index}`;
  return saveCall(
    {...content, snapshot: {index, term}, entries: []},
    {
      operation: 'install',
      snapshot: {index, term, configuration: CONFIGURATION, data},
    },
  );
}

function nextCall(content: Content, choose: Choice): Call {
  if (content.state.term === 0) {
    return voteCall(content);
  }
  switch (choose(9)) {
    case 0:
      return voteCall(content);
    case 1:
      return snapshotCall(content, choose);
    case 2:
      return installCall(content, choose);
    default:
      return appendCall(content, choose);
  }
}

/** Runs a call, at times with too little space at first. */
async function runCall(
  disk: UnreliableDisk,
  opened: OpenedStorage,
  {run}: Call,
  choose: Choice,
): Promise<void> {
  if (choose(9) === 0) {
    disk.freeBytes = choose(60);
    try {
      await run(opened);
      return;
    } catch (thrown) {
      if ((thrown as {code?: unknown}).code !== 'DISK_FULL') {
        throw thrown;
      }
    } finally {
      disk.freeBytes = Infinity;
    }
  }
  await run(opened);
}

function contentOf({recovered}: OpenedStorage): Content {
  const {state, entries, snapshot} = recovered;
  const {index, term} = snapshot ?? EMPTY.snapshot;
  return {state, snapshot: {index, term}, entries};
}

/**
 * Opens and uses the storage until the power is lost; returns the contents of which one
 * must be found afterwards.
 */
async function useUntilPowerLoss(
  disk: UnreliableDisk,
  possible: readonly Content[],
  choose: Choice,
): Promise<readonly Content[]> {
  let contents = possible;
  try {
    const opened = await openLogStorage({
      folder: FOLDER,
      files: disk,
      segmentBytes: SEGMENT_BYTES,
    });
    let content = contentOf(opened);
    expect(possible).to.deep.include(content);
    contents = [content];
    for (;;) {
      const call = nextCall(content, choose);
      contents = [content, call.after];
      await runCall(disk, opened, call, choose);
      content = call.after;
      contents = [content];
    }
  } catch (thrown) {
    if (!(thrown instanceof PowerLost)) {
      throw thrown;
    }
    return contents;
  }
}

it('power loss: at any point of any history, after kills too, a replica starts with all that it had saved', async function () {
  this.timeout(TIMEOUT_MS);
  await fc.assert(
    fc.asyncProperty(fc.gen(), async generate => {
      const choose: Choice = max => generate(fc.nat, {max});
      const disk = new UnreliableDisk();
      let contents: readonly Content[] = [EMPTY];
      for (let life = 0; life < LIVES; life += 1) {
        disk.operationsLeft = choose(MAX_OPERATIONS);
        contents = await useUntilPowerLoss(disk, contents, choose);
        if (choose(3) === 0) {
          disk.kill();
        } else {
          disk.losePower(choose);
        }
      }
      disk.operationsLeft = MAX_OPERATIONS;
      await useUntilPowerLoss(disk, contents, choose);
    }),
    RUNS,
  );
});

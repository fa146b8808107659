import {readFile} from 'node:fs/promises';
import {Result} from 'true-myth';
import {parse} from 'yaml';
import {schemaFindings, type Finding} from '@marigoldspur/faults';
import {
  SETTINGS_TREE_SCHEMA,
  type SettingsTree,
} from '@marigoldspur/settings-schema';

/** Reads a settings tree from a JSON or YAML file; fails with all findings together. */
export async function readTreeFile(
  file: string,
): Promise<Result<SettingsTree, Finding[]>> {
  let value: unknown;
  try {
    value = parse(await readFile(file, 'utf8'));
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    return Result.err([{place: file, reason}]);
  }
  const parsed = SETTINGS_TREE_SCHEMA.safeParse(value);
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(schemaFindings(parsed.error, file));
}

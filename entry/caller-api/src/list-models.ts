import {formatModel, type SettingsTree} from '@marigoldspur/settings-schema';

/** Response body of `GET /v1/models`, in OpenAI's format. */
export interface ModelList {
  readonly object: 'list';
  readonly data: ReadonlyArray<{
    readonly id: string;
    readonly object: 'model';
    readonly created: number;
    readonly owned_by: string;
  }>;
}

/**
 * Lists the adapter versions that a customer may request; those of all
 * customers if `customer` is undefined.
 */
export function listModels(
  tree: SettingsTree,
  customer: string | undefined,
): ModelList {
  const data = [];
  for (const [owner, {services}] of Object.entries(tree.customers)) {
    if (customer !== undefined && customer !== owner) {
      continue;
    }
    for (const service of Object.values(services)) {
      const adapters = service.kind === 'model' ? service.adapters : {};
      for (const [adapter, {versions}] of Object.entries(adapters)) {
        for (const [version, {retired}] of Object.entries(versions)) {
          if (!retired) {
            data.push({
              id: formatModel({adapter, version}),
              object: 'model' as const,
              created: 0,
              owned_by: owner,
            });
          }
        }
      }
    }
  }
  return {object: 'list', data};
}

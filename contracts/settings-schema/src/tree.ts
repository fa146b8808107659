import {z} from 'zod';
import {NAME_SCHEMA} from './names.js';
import {OVERRIDES_SCHEMA} from './settings.js';

/** An immutable version of an adapter. */
export const VERSION_SCHEMA = z.strictObject({
  /** Digest of the weights in the weight store. */
  digest: z.string().min(1).max(128),
  /** Whether the version is retired and takes no new requests. */
  retired: z.boolean().default(false),
});

/** An adapter with its versions. */
export const ADAPTER_SCHEMA = z.strictObject({
  settings: OVERRIDES_SCHEMA.default({}),
  versions: z.record(NAME_SCHEMA, VERSION_SCHEMA).default({}),
});

/** A service: model engines that serve adapters, or a plain service under a path prefix. */
export const SERVICE_SCHEMA = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    /** The base model of the service's engines. */
    baseModel: NAME_SCHEMA,
    /** The weight store that its engines load from. */
    store: NAME_SCHEMA.default('store'),
    settings: OVERRIDES_SCHEMA.default({}),
    adapters: z.record(NAME_SCHEMA, ADAPTER_SCHEMA).default({}),
  }),
  z.strictObject({
    kind: z.literal('plain'),
    /** First segment of the paths that are routed to the service. */
    pathPrefix: NAME_SCHEMA,
    /** Path at which a healthy target responds with 2xx; without it, a successful connection is enough. */
    healthPath: z
      .string()
      .max(256)
      .regex(/^\/[^\s#]*$/, 'must be a path')
      .optional(),
    settings: OVERRIDES_SCHEMA.default({}),
  }),
]);

/** A customer with its services. */
export const CUSTOMER_SCHEMA = z.strictObject({
  settings: OVERRIDES_SCHEMA.default({}),
  services: z.record(NAME_SCHEMA, SERVICE_SCHEMA).default({}),
});

/** The whole settings tree: system, customers, services, adapters. */
export const SETTINGS_TREE_SCHEMA = z.strictObject({
  settings: OVERRIDES_SCHEMA.default({}),
  customers: z.record(NAME_SCHEMA, CUSTOMER_SCHEMA).default({}),
});

/** An adapter with its versions. */
export type Adapter = z.infer<typeof ADAPTER_SCHEMA>;
/** A service of a customer. */
export type Service = z.infer<typeof SERVICE_SCHEMA>;
/** A customer with its services. */
export type Customer = z.infer<typeof CUSTOMER_SCHEMA>;
/** The whole settings tree. */
export type SettingsTree = z.infer<typeof SETTINGS_TREE_SCHEMA>;

/** Returns a settings tree without customers. */
export function createEmptyTree(): SettingsTree {
  return {settings: {}, customers: {}};
}

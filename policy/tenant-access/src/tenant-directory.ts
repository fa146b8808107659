import {secretDigest} from '@marigoldspur/access';
import type {Tenant} from '@marigoldspur/deployment';

/** A tenant without its keys. */
export type TenantProfile = Omit<Tenant, 'keys'>;

/** Returns the digest by which a key is compared. */
export function digestKey(key: string): string {
  return secretDigest(key);
}

/** The tenants of one deployment by the digests of their keys; it holds no keys. */
export class TenantDirectory {
  private readonly profiles = new Map<string, TenantProfile>();

  constructor(tenants: readonly Tenant[]) {
    for (const {keys, ...profile} of tenants) {
      keys.forEach(key => this.profiles.set(digestKey(key), profile));
    }
  }

  /** Returns the tenant of the key with this digest; undefined if no tenant has the key. */
  find(digest: string): TenantProfile | undefined {
    return this.profiles.get(digest);
  }
}

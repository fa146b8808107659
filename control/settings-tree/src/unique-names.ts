import type {Customer, Service} from '@marigoldspur/settings-schema';

/** Lists the names of a service that must be unique within a customer: adapter names and path prefixes. */
export function listUniqueNames(service: Service): string[] {
  return service.kind === 'model'
    ? Object.keys(service.adapters)
    : [`path ${service.pathPrefix}`];
}

/** Returns the service of a customer that uses a unique name. */
export function findNameOwner(
  customer: Customer,
  name: string,
): string | undefined {
  const owner = Object.entries(customer.services).find(([, service]) =>
    service.kind === 'model'
      ? Object.hasOwn(service.adapters, name)
      : `path ${service.pathPrefix}` === name,
  );
  return owner?.[0];
}

/** A name that occurs twice within a customer. */
export interface DuplicateName {
  /** Service of the second occurrence. */
  readonly service: string;
  readonly name: string;
}

/** Finds the names that occur more than once within a customer. */
export function findDuplicateNames(customer: Customer): DuplicateName[] {
  const seen = new Set<string>();
  const duplicates: DuplicateName[] = [];
  for (const [service, level] of Object.entries(customer.services)) {
    for (const name of listUniqueNames(level)) {
      if (seen.has(name)) {
        duplicates.push({service, name});
      }
      seen.add(name);
    }
  }
  return duplicates;
}

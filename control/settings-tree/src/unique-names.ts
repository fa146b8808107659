import type {Customer, Service} from '@marigoldspur/settings-schema';

/** What has to be unique in a customer: names of adapters and path prefixes. */
export function listUniqueNames(service: Service): string[] {
  return service.kind === 'model'
    ? Object.keys(service.adapters)
    : [`path ${service.pathPrefix}`];
}

/** The service of a customer that holds a unique name. */
export function findNameOwner(
  customer: Customer,
  name: string,
): string | undefined {
  const holder = Object.entries(customer.services).find(([, service]) =>
    service.kind === 'model'
      ? Object.hasOwn(service.adapters, name)
      : `path ${service.pathPrefix}` === name,
  );
  return holder?.[0];
}

/** A name that stands twice in a customer. */
export interface DuplicateName {
  /** The service in which it stands again. */
  readonly service: string;
  readonly name: string;
}

/** Finds the names that stand twice in a customer. */
export function findDuplicateNames(customer: Customer): DuplicateName[] {
  const seen = new Set<string>();
  const doubled: DuplicateName[] = [];
  for (const [service, level] of Object.entries(customer.services)) {
    for (const name of listUniqueNames(level)) {
      if (seen.has(name)) {
        doubled.push({service, name});
      }
      seen.add(name);
    }
  }
  return doubled;
}

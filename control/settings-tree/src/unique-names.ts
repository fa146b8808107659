import type {Customer, Service} from '@marigoldspur/settings-schema';

/** What has to be unique in a customer: names of adapters and path prefixes. */
export function namesOf(service: Service): string[] {
  return service.kind === 'model'
    ? Object.keys(service.adapters)
    : [`path ${service.pathPrefix}`];
}

/** The service of a customer that holds a unique name. */
export function holderOf(customer: Customer, name: string): string | undefined {
  const holder = Object.entries(customer.services).find(([, service]) =>
    service.kind === 'model'
      ? Object.hasOwn(service.adapters, name)
      : `path ${service.pathPrefix}` === name,
  );
  return holder?.[0];
}

/** A name that stands twice in a customer. */
export interface DoubledName {
  /** The service in which it stands again. */
  readonly service: string;
  readonly name: string;
}

/** Finds the names that stand twice in a customer. */
export function doubledNames(customer: Customer): DoubledName[] {
  const seen = new Set<string>();
  const doubled: DoubledName[] = [];
  for (const [service, level] of Object.entries(customer.services)) {
    for (const name of namesOf(level)) {
      if (seen.has(name)) {
        doubled.push({service, name});
      }
      seen.add(name);
    }
  }
  return doubled;
}

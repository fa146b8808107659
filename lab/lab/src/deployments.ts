import type {SettingsTree} from '@marigoldspur/settings-schema';

/** Group of identical targets of a service. */
export interface TargetGroup {
  readonly service: string;
  readonly kind: 'engine' | 'service';
  readonly count: number;
}

/** Targets and weight store of a customer. */
export interface Deployment {
  readonly customer: string;
  /** Zones to which the targets of each group are assigned in turn. */
  readonly zones: readonly string[];
  readonly targets: readonly TargetGroup[];
  /** Adapter loads per second of the weight store when they run one at a time. */
  readonly loadsPerSecond: number;
}

/** Returns the deployments of the two current customers. */
export function listDeployments(): Deployment[] {
  return [
    {
      customer: 'callao',
      zones: ['lima-a', 'lima-b', 'lima-c'],
      targets: [
        {service: 'lm-desk', kind: 'engine', count: 12},
        {service: 'chart-api', kind: 'service', count: 3},
      ],
      loadsPerSecond: 4,
    },
    {
      customer: 'fretwell',
      zones: ['lake-a', 'lake-b', 'lake-c', 'lake-d'],
      targets: [
        {service: 'luthier-ai', kind: 'engine', count: 8},
        {service: 'rental-desk', kind: 'service', count: 4},
      ],
      loadsPerSecond: 3,
    },
  ];
}

/**
 * Creates a settings tree in which each model service has `adaptersPerService` adapters
 * of one version.
 */
export function createDeploymentTree(
  deploymentList: readonly Deployment[],
  adaptersPerService: number,
): SettingsTree {
  const customers: SettingsTree['customers'] = {};
  for (const {customer, targets} of deploymentList) {
    const services: SettingsTree['customers'][string]['services'] = {};
    for (const {service, kind} of targets) {
      services[service] =
        kind === 'engine'
          ? {
              kind: 'model',
              baseModel: 'base-8b',
              store: `${customer}-store`,
              settings: {},
              adapters: createAdapters(customer, adaptersPerService),
            }
          : {
              kind: 'plain',
              pathPrefix: service,
              settings: {repeatable: false},
            };
    }
    customers[customer] = {settings: {}, services};
  }
  return {settings: {}, customers};
}

function createAdapters(customer: string, count: number) {
  return Object.fromEntries(
    Array.from({length: count}, (_, index) => [
      `${customer}-${index}`,
      {
        settings: {},
        versions: {v1: {digest: `digest-${index}`, retired: false}},
      },
    ]),
  );
}

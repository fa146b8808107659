import {collectDefaultMetrics, Registry} from 'prom-client';

/** The metrics of one process. */
export interface ProcessMetrics {
  readonly registry: Registry;
}

/** Creates the registry of a process, with its labels and the default metrics of Node.js. */
export function createProcessMetrics(labels: {
  readonly process: string;
  readonly role: string;
  readonly zone: string;
}): ProcessMetrics {
  const registry = new Registry();
  registry.setDefaultLabels(labels);
  collectDefaultMetrics({register: registry});
  return {registry};
}

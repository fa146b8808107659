import {Gauge, type Registry} from 'prom-client';
import type {MemoryBudget} from './memory-budget.js';

/** Registers the metrics of a memory budget. */
export function registerBudgetMetrics(
  registry: Registry,
  budget: MemoryBudget,
): void {
  const registers = [registry];
  new Gauge({
    name: 'marigoldspur_buffered_bytes',
    help: 'Bytes that are reserved for buffered data, by kind',
    labelNames: ['kind'],
    registers,
    collect() {
      budget.heldBytesByKind.forEach((bytes, kind) => this.set({kind}, bytes));
    },
  });
  new Gauge({
    name: 'marigoldspur_buffered_bytes_limit',
    help: 'Bytes that may be reserved for buffered data of all kinds together',
    registers,
    collect() {
      this.set(budget.occupancy.maxBytes);
    },
  });
  new Gauge({
    name: 'marigoldspur_buffer_refusals',
    help: 'Reservations for buffered data that were refused since the start, by kind',
    labelNames: ['kind'],
    registers,
    collect() {
      budget.refusalsByKind.forEach((count, kind) => this.set({kind}, count));
    },
  });
}

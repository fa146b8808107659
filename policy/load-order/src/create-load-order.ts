import {FirstComeOrder} from './first-come-order.js';
import {LeastHarmOrder} from './least-harm-order.js';
import type {LoadOrder} from './load-order.js';

/** Name of a load order in the settings. */
export type LoadOrderName = 'first-come' | 'least-harm';

/** Creates the load order with the given name. */
export function createLoadOrder(name: LoadOrderName): LoadOrder {
  switch (name) {
    case 'first-come':
      return new FirstComeOrder();
    case 'least-harm':
      return new LeastHarmOrder();
  }
}

export {createShuttingDownRefusal} from '@marigoldspur/drain-admission';

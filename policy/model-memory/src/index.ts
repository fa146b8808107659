export {
  modelMemoryOf,
  modelRoomOf,
  type ModelRoom,
  type RequestedModel,
} from './model-room.js';

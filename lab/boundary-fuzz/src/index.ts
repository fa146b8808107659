export {
  type Boundary,
  type FuzzedSystem,
  type FuzzMessage,
} from './boundary.js';
export {applyEdits, editedTexts, type TextEdit} from './text-edits.js';
export {
  fuzzBoundaries,
  type FuzzFailure,
  type FuzzOptions,
  type FuzzReport,
} from './fuzz-boundaries.js';

export {
  MemberTable,
  type MemberChange,
  type MemberTableOptions,
} from './member-table.js';

export {
  MemberTable,
  type Announcement,
  type MemberChange,
  type MemberTableOptions,
} from './member-table.js';

import {CATALOGUE} from '@marigoldspur/event-catalogue';
import {markdownTable} from './markdown-table.js';

const HEAD = `# Events

Every process records numbered events: it keeps the latest in memory, writes each as a
JSON line to standard output at its level, and gives them to \`marigoldspur timeline\`.
Numbers are never reused. Events carry a hybrid logical time (\`time\` in milliseconds
since the epoch, \`tick\` within one millisecond), so that those of several processes
can be put in order.

This page is written from the catalogue by \`npm run docs\`.

`;

/** The page of all events. */
export function eventsPage(): string {
  const rows = Object.entries(CATALOGUE)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, kind]) => [
      String(kind.number),
      `\`${name}\``,
      kind.level,
      kind.meaning,
    ]);
  return (
    HEAD + markdownTable([['number', 'name', 'level', 'meaning'], ...rows])
  );
}

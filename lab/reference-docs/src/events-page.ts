import {CATALOGUE} from '@marigoldspur/event-catalogue';
import {renderMarkdownTable} from './markdown-table.js';

const INTRODUCTION = `# Events

Every process records numbered events. It keeps the latest in memory, writes those at or
above its log level to standard output as JSON lines, and provides them to
\`marigoldspur timeline\`. Numbers are never reused. Each event carries a hybrid logical
timestamp (\`time\` in milliseconds since the epoch, \`tick\` within a millisecond), which
orders the events of several processes.

This page is generated from the event catalogue by \`npm run docs\`.

`;

/** Renders the reference page of all events as Markdown. */
export function renderEventsPage(): string {
  const rows = Object.entries(CATALOGUE)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, definition]) => [
      String(definition.number),
      `\`${name}\``,
      definition.level,
      definition.meaning,
    ]);
  return (
    INTRODUCTION +
    renderMarkdownTable([['number', 'name', 'level', 'meaning'], ...rows])
  );
}

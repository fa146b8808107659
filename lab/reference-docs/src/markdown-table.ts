/** Renders a Markdown table; the first row is the header. */
export function renderMarkdownTable(
  rows: ReadonlyArray<readonly string[]>,
): string {
  const [header, ...body] = rows;
  const delimiter = header.map(() => '---');
  return [header, delimiter, ...body]
    .map(cells => `| ${cells.map(escapeCell).join(' | ')} |\n`)
    .join('');
}

function escapeCell(cell: string): string {
  return cell.replaceAll('|', '\\|');
}

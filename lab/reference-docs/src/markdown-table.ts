/** Renders a Markdown table; the first row is its head. */
export function markdownTable(rows: ReadonlyArray<readonly string[]>): string {
  const [head, ...body] = rows;
  const rule = head.map(() => '---');
  return [head, rule, ...body]
    .map(cells => `| ${cells.map(escapeCell).join(' | ')} |\n`)
    .join('');
}

function escapeCell(cell: string): string {
  return cell.replaceAll('|', '\\|');
}

/** A row of a table: cells by column name. */
export type TableRow = Readonly<Record<string, string | number | boolean>>;

/** Formats rows with the same columns as a text table; `(none)` if there are no rows. */
export function formatTable(rows: readonly object[]): string {
  const cells = rows.map(row =>
    Object.values(row as TableRow).map(value => String(value)),
  );
  if (cells.length === 0) {
    return '(none)\n';
  }
  const lines = [Object.keys(rows[0]), ...cells];
  const widths = lines[0].map((_, column) =>
    Math.max(...lines.map(line => line[column].length)),
  );
  return lines
    .map(line => line.map((cell, column) => cell.padEnd(widths[column])))
    .map(line => `${line.join('  ').trimEnd()}\n`)
    .join('');
}

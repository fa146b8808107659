/** Renders rows of equal shape as a table for people. */
export function formatTable(
  rows: ReadonlyArray<Readonly<Record<string, string | number | boolean>>>,
): string {
  if (rows.length === 0) {
    return '(none)\n';
  }
  const columns = Object.keys(rows[0]);
  const cells = [
    columns,
    ...rows.map(row => columns.map(name => String(row[name]))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map(line => line[index].length)),
  );
  return cells
    .map(line =>
      line
        .map((cell, index) => cell.padEnd(widths[index]))
        .join('  ')
        .trimEnd(),
    )
    .map(line => `${line}\n`)
    .join('');
}

import {readFileSync} from 'node:fs';

/** Clock ticks of `/proc` are hundredths of a second on Linux. */
const MS_PER_TICK = 10;

/** Processor time of a process in milliseconds, user and system (proc(5), fields 14 and 15). */
export function cpuMsOf(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
}

import {readFileSync} from 'node:fs';

/** Duration of a clock tick of `/proc` on Linux. */
const MS_PER_TICK = 10;

/** Reads the CPU time of a process in milliseconds, user and system time together (proc(5), fields 14 and 15). */
export function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
}

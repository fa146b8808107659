import {readFileSync} from 'node:fs';

/** A clock tick of `/proc` on Linux is a hundredth of a second. */
const MS_PER_TICK = 10;

/** CPU time of a process in milliseconds, user and system time together (proc(5), fields 14 and 15). */
export function cpuMsOf(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
}

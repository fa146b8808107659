import {ANSWER_RULES} from './answer-rules.js';
import type {History} from './history.js';
import type {Rule, Violation} from './rule.js';
import {SETTINGS_RULES} from './settings-rules.js';
import {TARGET_RULES} from './target-rules.js';

/** All rules, one for each promise that can be checked on a history. */
export const RULES: readonly Rule[] = [
  ...ANSWER_RULES,
  ...TARGET_RULES,
  ...SETTINGS_RULES,
];

/** Checks a history against all rules. */
export function checkHistory(history: History): Violation[] {
  return RULES.flatMap(rule =>
    rule.check(history).map(finding => ({rule: rule.name, ...finding})),
  );
}

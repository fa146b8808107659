import {z} from 'zod';
import {AGENT_SETTINGS_SCHEMA} from '@marigoldspur/agent-server';
import {CONTROL_SETTINGS_SCHEMA} from '@marigoldspur/control-server';
import {ENTRY_SETTINGS_SCHEMA} from '@marigoldspur/entry-server';
import {flagName, variableName} from '@marigoldspur/process-settings';
import {SETTINGS_SCHEMA} from '@marigoldspur/settings-schema';
import {markdownTable} from './markdown-table.js';

const HEAD = `# Settings

There are two kinds. The **settings tree** is what operators change while the system
runs. **Process settings** are flags and environment variables, read once at the start;
flags go before variables, \`--check\` only checks them, and every finding is printed
together with its flag, variable and reason.

This page is written from the schemas by \`npm run docs\`.

`;

const TREE_FILE = `
### A tree file

\`marigoldspur settings apply FILE\` replaces the whole tree by such a file, in YAML or
JSON, as one change. \`settings\` may stand at every level.

\`\`\`yaml
settings: {priority: 5}
customers:
  callao:
    settings: {concurrency: 512}
    services:
      lm-desk:
        kind: model
        baseModel: base-8b
        store: callao-store
        settings: {placement: resident-first}
        adapters:
          recap:
            settings: {priority: 1}
            versions:
              v1: {digest: 4f0c1d}
              v2: {digest: 9ae277}
      chart-api:
        kind: plain
        pathPrefix: chart-api
        healthPath: /health
        settings: {repeatable: false}
\`\`\`
`;

/** The page of all settings. */
export function settingsPage(): string {
  return [
    HEAD,
    '## The settings tree\n\n',
    'Levels: `/`, `/customer`, `/customer/service`, `/customer/service/adapter`. ',
    'Each level inherits from its parent and overrides only what differs.\n\n',
    markdownTable([['setting', 'values', 'default', 'meaning'], ...treeRows()]),
    TREE_FILE,
    processSection('marigoldspur-control', CONTROL_SETTINGS_SCHEMA),
    processSection('marigoldspur-entry', ENTRY_SETTINGS_SCHEMA),
    processSection('marigoldspur-agent', AGENT_SETTINGS_SCHEMA),
  ].join('');
}

interface JsonSchema {
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly default?: unknown;
  readonly description?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
}

function shapeOf(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, {
    io: 'input',
    unrepresentable: 'any',
  }) as JsonSchema;
}

function treeRows(): string[][] {
  const {properties} = shapeOf(SETTINGS_SCHEMA);
  return Object.entries(properties ?? {}).map(([name, field]) => [
    `\`${name}\``,
    valuesOf(field),
    `\`${String(field.default)}\``,
    field.description ?? '',
  ]);
}

function valuesOf(field: JsonSchema): string {
  if (field.enum !== undefined) {
    return field.enum.join(', ');
  }
  if (field.minimum !== undefined) {
    return `${field.type} ${field.minimum} to ${field.maximum ?? 'any'}`;
  }
  return field.type ?? '';
}

function processSection(program: string, schema: z.ZodObject): string {
  const {properties, required} = shapeOf(schema);
  const rows = Object.entries(properties ?? {}).map(([name, field]) => [
    `\`--${flagName(name)}\``,
    `\`${variableName(name)}\``,
    defaultOf(field, required?.includes(name) === true),
    field.description ?? '',
  ]);
  const head = ['flag', 'variable', 'default', 'meaning'];
  return `\n## ${program}\n\n${markdownTable([head, ...rows])}`;
}

function defaultOf(field: JsonSchema, required: boolean): string {
  if (required) {
    return 'required';
  }
  return field.default === undefined ? 'none' : `\`${String(field.default)}\``;
}

import {z} from 'zod';
import {AGENT_SETTINGS_SCHEMA} from '@marigoldspur/agent-server';
import {CONTROL_SETTINGS_SCHEMA} from '@marigoldspur/control-server';
import {ENTRY_SETTINGS_SCHEMA} from '@marigoldspur/entry-server';
import {flagName, variableName} from '@marigoldspur/process-settings';
import {SETTINGS_SCHEMA} from '@marigoldspur/settings-schema';
import {renderMarkdownTable} from './markdown-table.js';

const INTRODUCTION = `# Settings

There are two kinds of settings. Operators change the **settings tree** while the system
runs. **Process settings** are flags and environment variables that a process reads once
at startup. Flags take precedence over variables, \`--check\` only validates them, and
all invalid settings are reported together, each with its flag, variable and reason.

This page is generated from the schemas by \`npm run docs\`.

`;

const TREE_FILE_SECTION = `
### Tree file

\`marigoldspur settings apply FILE\` replaces the whole tree with the contents of a YAML
or JSON file such as the following, as one change. Every level may have \`settings\`.

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

const CONNECTION_LIMITS_SECTION = `
## Limits on connections

Set by the settings \`memoryMb\` and \`maxFds\` (\`limits\` of the settings file), and fixed where the
table says so. No caller within the limits of the deployment meets them.

${renderMarkdownTable([
  ['limit', 'default', 'set by'],
  [
    'Requests of one connection of a caller in progress, and waiting',
    '32, 256',
    'fixed',
  ],
  ['Waiting requests of all connections', '1,000', 'fixed'],
  [
    'Requests of one connection without a response, at control and between processes',
    '32',
    'fixed',
  ],
  ['The same, and connections, at the readiness address', '8, 16', 'fixed'],
  [
    'Chunks of a body of any size; mean size in bytes from then on',
    '65,536; 32',
    'fixed',
  ],
  [
    'Time for the rest of a refused body, in milliseconds; number of them that an entry does not slow down',
    '5,000; 4',
    'fixed',
  ],
  ['File descriptors of a process', 'no limit', '`maxFds`'],
  [
    'Connections of callers; of processes to an entry',
    '56%, 14% of `maxFds` - 48',
    '`maxFds`, `memoryMb`',
  ],
  [
    'Connections of operators; of processes to control and agents',
    '35%, 35% of `maxFds` - 48',
    '`maxFds`, `memoryMb`',
  ],
  ['Calls of an entry in progress', '25% of `maxFds` - 48', '`maxFds`'],
  ['Memory of a request in bytes; of each header field', '2,048; 320', 'fixed'],
])}`;

/** Renders the reference page of the settings tree and of the process settings as Markdown. */
export function renderSettingsPage(): string {
  return [
    INTRODUCTION,
    '## The settings tree\n\n',
    'Levels: `/`, `/customer`, `/customer/service`, `/customer/service/adapter`. ',
    'Each level inherits the settings of its parent and can override them.\n\n',
    renderMarkdownTable([
      ['setting', 'values', 'default', 'meaning'],
      ...createTreeSettingRows(),
    ]),
    TREE_FILE_SECTION,
    renderProcessSection('marigoldspur-control', CONTROL_SETTINGS_SCHEMA),
    renderProcessSection('marigoldspur-entry', ENTRY_SETTINGS_SCHEMA),
    renderProcessSection('marigoldspur-agent', AGENT_SETTINGS_SCHEMA),
    CONNECTION_LIMITS_SECTION,
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

function toJsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, {
    io: 'input',
    unrepresentable: 'any',
  }) as JsonSchema;
}

function createTreeSettingRows(): string[][] {
  const {properties} = toJsonSchema(SETTINGS_SCHEMA);
  return Object.entries(properties ?? {}).map(([name, field]) => [
    `\`${name}\``,
    formatValues(field),
    `\`${String(field.default)}\``,
    field.description ?? '',
  ]);
}

function formatValues(field: JsonSchema): string {
  if (field.enum !== undefined) {
    return field.enum.join(', ');
  }
  if (field.minimum !== undefined) {
    return `${field.type} ${field.minimum} to ${field.maximum ?? 'any'}`;
  }
  return field.type ?? '';
}

function renderProcessSection(program: string, schema: z.ZodObject): string {
  const {properties, required} = toJsonSchema(schema);
  const rows = Object.entries(properties ?? {}).map(([name, field]) => [
    `\`--${flagName(name)}\``,
    `\`${variableName(name)}\``,
    formatDefault(field, required?.includes(name) === true),
    field.description ?? '',
  ]);
  const header = ['flag', 'variable', 'default', 'meaning'];
  return `\n## ${program}\n\n${renderMarkdownTable([header, ...rows])}`;
}

function formatDefault(field: JsonSchema, isRequired: boolean): string {
  if (isRequired) {
    return 'required';
  }
  return field.default === undefined ? 'none' : `\`${String(field.default)}\``;
}

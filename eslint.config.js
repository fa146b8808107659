import gts from 'gts';

export default [
  {ignores: ['**/lib/**', '**/node_modules/**', 'target/**']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: './tsconfig.lint.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
  },
  {
    // Mocha's globals and chai's property assertions.
    files: ['**/test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      'n/no-unpublished-import': 'off',
    },
  },
  {
    files: ['scripts/**/*.mjs', 'eslint.config.js'],
    languageOptions: {
      ecmaVersion: 2022,
      sourceType: 'module',
      globals: {process: 'readonly', console: 'readonly'},
    },
    rules: {'n/no-process-exit': 'off', 'n/no-unpublished-import': 'off'},
  },
];

import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import {fileNameRule} from './scripts/lint/file_name_rule.js';
import {platformNamesRule} from './scripts/lint/platform_names_rule.js';
import {verbRule} from './scripts/lint/verb_rule.js';

/** Forbids a package from importing the workspace packages not named here. */
function allowOnly(directory, allowed, folder = 'packages') {
  const all = [
    'shared',
    'decisions',
    'router',
    'cli',
    'stand-ins',
    'scenarios',
    'framing',
    'gateway',
    'platform',
  ];
  const paths = all
    .filter(name => !allowed.includes(name))
    .map(name => ({
      name: `@zinniaspindle/${name}`,
      message: `${directory} must not import ${name}`,
    }));
  const patterns = [
    {group: ['@zinniaspindle/*/*'], message: 'import src/index.ts only'},
  ];
  if (directory === 'shared' || directory === 'decisions') {
    patterns.push({
      group: ['node:*', 'effect', 'effect/*'],
      message: 'the core is free of platform code',
    });
  }
  return {
    files: [`${folder}/${directory}/src/**/*.ts`.replace(/^\//, '')],
    rules: {'no-restricted-imports': ['error', {paths, patterns}]},
  };
}

export default tseslint.config(
  {ignores: ['**/node_modules/**', '**/dist/**', 'target/**']},
  ...tseslint.configs.recommended.map(config => ({
    ...config,
    files: ['**/*.ts'],
  })),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: {
      local: {
        rules: {
          verb: verbRule,
          fileName: fileNameRule,
          platformNames: platformNamesRule,
        },
      },
      jsdoc,
    },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/consistent-type-assertions': 'error',
      'local/verb': 'error',
      'local/fileName': 'error',
      'no-var': 'error',
      'prefer-const': 'error',
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'use named exports'},
        {
          selector: 'CallExpression[callee.property.name="forEach"]',
          message: 'use for of',
        },
      ],
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
      'max-lines-per-function': [
        'error',
        {max: 70, skipBlankLines: true, skipComments: true},
      ],
    },
  },
  {
    files: ['packages/*/__tests__/**/*.ts', 'platform/__tests__/**/*.ts'],
    rules: {
      'max-lines': 'off',
      'max-lines-per-function': 'off',
      // node:test returns a promise that the runner itself awaits.
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    files: ['packages/*/src/**/*.ts'],
    rules: {'local/platformNames': 'error'},
  },
  {
    files: [
      'packages/*/src/**/*.ts',
      'platform/src/**/*.ts',
      'platform/soak/**/*.ts',
    ],
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {ClassDeclaration: true, FunctionDeclaration: true},
          contexts: [
            'ExportNamedDeclaration > TSInterfaceDeclaration',
            'ExportNamedDeclaration > TSTypeAliasDeclaration',
            'ExportNamedDeclaration > TSEnumDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
        },
      ],
    },
  },
  allowOnly('shared', ['shared']),
  allowOnly('decisions', ['shared', 'decisions']),
  allowOnly('framing', ['shared', 'framing']),
  allowOnly('router', ['shared', 'decisions', 'framing', 'router']),
  allowOnly('gateway', ['shared', 'decisions', 'framing', 'gateway']),
  allowOnly('platform', ['shared', 'decisions', 'gateway', 'platform'], ''),
  allowOnly('stand-ins', ['shared', 'stand-ins']),
  allowOnly('scenarios', ['shared', 'decisions', 'stand-ins', 'scenarios']),
);

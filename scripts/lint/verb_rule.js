import {verbs} from './verbs.js';

const verbPattern = new RegExp(`^_?(${verbs.join('|')})([A-Z0-9]|$)`);

/** Reports a function or method whose name does not begin with a listed verb. */
export const verbRule = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: {
      verb: 'function "{{name}}" must begin with a verb from scripts/lint/verbs.js',
    },
  },
  create(context) {
    const check = (node, name) => {
      if (!verbPattern.test(name)) {
        context.report({node, messageId: 'verb', data: {name}});
      }
    };
    const isFunction = node =>
      node?.type === 'ArrowFunctionExpression' ||
      node?.type === 'FunctionExpression';
    return {
      FunctionDeclaration(node) {
        if (node.id) check(node.id, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind !== 'method' || node.key.type !== 'Identifier') return;
        check(node.key, node.key.name);
      },
      VariableDeclarator(node) {
        if (node.id.type !== 'Identifier' || !isFunction(node.init)) return;
        check(node.id, node.id.name);
      },
    };
  },
};

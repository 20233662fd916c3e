import path from 'node:path';

const snakeCase = /^[a-z0-9]+(_[a-z0-9]+)*(\.[a-z0-9]+)*$/;

/** Reports a source file whose name is not in snake_case. */
export const fileNameRule = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: {name: 'file name "{{name}}" is not in snake_case'},
  },
  create(context) {
    return {
      Program(node) {
        const name = path.basename(context.filename);
        if (!snakeCase.test(name)) {
          context.report({node, messageId: 'name', data: {name}});
        }
      },
    };
  },
};

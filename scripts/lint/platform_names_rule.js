/** Headers, calls, topics and variables of the users' platform. */
const platformNames =
  /attempt-id|token-counts|prompt-prefix|deadline-ms|expect-instance|expect-version|hop-count|not-executed|response-seal|request-urgency|at-server|weight-versions|\/api\/(log-|resolve|ready|order|report)|^keyed\.|ZINNIASPINDLE_SETTINGS/i;

/** Reports text that names something of the platform outside its adapter. */
export const platformNamesRule = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {name: '"{{text}}" belongs into the adapter, platform/'},
  },
  create(context) {
    const check = (node, text) => {
      if (platformNames.test(text)) {
        context.report({node, messageId: 'name', data: {text}});
      }
    };
    return {
      Literal(node) {
        if (typeof node.value === 'string') check(node, node.value);
      },
      TemplateElement(node) {
        check(node, node.value.raw);
      },
    };
  },
};

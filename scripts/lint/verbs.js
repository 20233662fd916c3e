/** The verbs that a function name may begin with; CONTRIBUTING.md gives their meanings. */
export const verbs = [
  ...['accept', 'add', 'answer', 'append', 'apply', 'ask', 'assert', 'build'],
  ...['can', 'cancel', 'check', 'choose', 'close', 'compare', 'compute'],
  ...['count', 'create', 'decide', 'decode', 'derive', 'describe', 'drop'],
  ...['encode', 'expect', 'expire', 'fail', 'fetch', 'find', 'fold', 'format'],
  ...['get', 'handle', 'has', 'hash', 'inject', 'is', 'join', 'list', 'load'],
  ...['log', 'make', 'match', 'measure', 'merge', 'open', 'parse', 'pick'],
  ...['plan', 'poll', 'predict', 'print', 'probe', 'publish', 'read'],
  ...['record', 'refuse', 'release', 'remove', 'render', 'report', 'reserve'],
  ...['resolve', 'resume', 'run', 'sample', 'send', 'serve', 'set'],
  ...['simulate', 'sort', 'start', 'stop', 'stream', 'swap', 'take', 'to'],
  ...['translate', 'update', 'verify', 'wait', 'write'],
];

const wordPattern = /(?:[^\s"#]|"[^"]*")+|#.*$/g;
const settingPattern = /^([a-z][A-Za-z]*)=(.*)$/s;

/** Words that introduce a value, as options of a command. */
export const prepositions: readonly string[] = [
  'as',
  'at-most',
  'by',
  'exactly',
  'for',
  'since',
  'via',
];

/** Groups of commands whose second word is a name and whose third is a verb. */
const subjectGroups: readonly string[] = [
  'caller',
  'endpoint',
  'expect',
  'service',
];

/** Splits a line into words; quotes hold words together, # begins a comment. */
export function parseWords(text: string): string[] {
  const words: string[] = [];
  for (const [word] of text.matchAll(wordPattern)) {
    if (word.startsWith('#')) break;
    words.push(word.replaceAll('"', ''));
  }
  return words;
}

/**
 * Brings the words of a step into the order of a command line: verb before
 * subject, `name=value` and `by value` as options.
 */
export function toArguments(words: readonly string[]): string[] {
  const ordered = [...words];
  const [group, subject, verb] = words;
  if (group !== undefined && subjectGroups.includes(group)) {
    if (subject !== undefined && verb !== undefined) {
      ordered.splice(1, 2, verb, subject);
    }
  }
  const result: string[] = [];
  for (const word of ordered) {
    const setting = settingPattern.exec(word);
    if (setting !== null) result.push(`--${setting[1]}=${setting[2]}`);
    else if (prepositions.includes(word)) result.push(`--${word}`);
    else result.push(word);
  }
  return result;
}

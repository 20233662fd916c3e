/** Labels that operators attach to an object, matched by selectors. */
export type Labels = Readonly<Record<string, string>>;

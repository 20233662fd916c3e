/** The verbs that a function name may begin with. */
export declare const verbs: readonly string[];

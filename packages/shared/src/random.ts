/** A random number generator with values in [0, 1); the caller may seed it. */
export type Random = () => number;

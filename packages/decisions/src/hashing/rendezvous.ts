/**
 * Rendezvous hashing: all VMs pick the same nodes for a key without
 * coordination.
 */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;
const murmurFirstMultiplier = 0x85ebca6b;
const murmurSecondMultiplier = 0xc2b2ae35;

/** Hashes text to 32 bits: FNV-1a, then the finalizer of MurmurHash3. */
export function hashText(text: string): number {
  let hash = fnvOffset;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
  }
  return hashNumber(hash);
}

/** Mixes the bits of a 32-bit number with the finalizer of MurmurHash3. */
export function hashNumber(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), murmurFirstMultiplier);
  hash = Math.imul(hash ^ (hash >>> 13), murmurSecondMultiplier);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Computes the weight of a node for a key; the node with the highest weight
 * wins.
 */
export function computeWeight(key: string, node: string): number {
  return hashNumber(hashText(key) ^ Math.imul(hashText(node), fnvPrime));
}

/** Sorts nodes by descending weight for a key; equal weights by name. */
export function sortByWeight<Node>(
  key: string,
  nodes: readonly Node[],
  getName: (node: Node) => string,
): Node[] {
  const weighed = nodes.map(node => {
    const name = getName(node);
    return {node, name, weight: computeWeight(key, name)};
  });
  weighed.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1));
  return weighed.map(({node}) => node);
}

/** Picks the `count` names that rank highest for a key; ties by name. */
export function pickRanked<Name extends string>(
  key: string,
  names: Iterable<Name>,
  count: number,
): Name[] {
  const ranked = [...new Set(names)].map(name => ({
    name,
    rank: hashText(`${key}/${name}`),
  }));
  ranked.sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1));
  return ranked.slice(0, count).map(({name}) => name);
}

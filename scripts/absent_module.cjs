// Stands in the bundle for native modules, whose users do without them.
throw new Error('native modules are not part of the binary');

import {runCli} from './program.js';

// The bundle of the binary is CommonJS, which has no await at this level.
void runCli(process.argv);

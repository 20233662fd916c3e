import {fetchJson} from '../entry_client.js';

const pollMilliseconds = 100;

/** The part of a VM's status that the demo looks at. */
interface ReadyStatus {
  readonly ready: boolean;
  readonly takesActions: boolean;
  readonly objects: number;
}

/** Waits until an entry VM is ready and holds a number of objects. */
export async function waitReady(
  entry: string,
  objects: number,
  deadline: number,
): Promise<void> {
  for (;;) {
    const status = await readStatus(entry);
    if (status?.ready && status.takesActions && status.objects >= objects) {
      return;
    }
    if (Date.now() >= deadline) {
      throw new Error(
        `entry VM ${entry} is not ready: ${JSON.stringify(status)}`,
      );
    }
    await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
  }
}

async function readStatus(entry: string): Promise<ReadyStatus | undefined> {
  try {
    const call = {method: 'GET', path: '/v1/status'} as const;
    return (await fetchJson({entry}, call)) as ReadyStatus;
  } catch {
    return undefined;
  }
}

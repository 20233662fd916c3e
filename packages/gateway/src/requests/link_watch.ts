import type {EndpointLinks} from '../links/endpoint_links.js';
import type {Upstream} from './upstream.js';

/** A connection of a lost link on which nothing comes for this time is silent. */
const silenceMilliseconds = 300;

/**
 * Tells when an open connection of this VM is silent after its link was lost; it
 * may hang, or go on while new ones are refused.
 */
export function startLinkWatch(
  links: EndpointLinks,
  id: string,
  upstream: Upstream,
  handleSilence: () => void,
): void {
  let timer: NodeJS.Timeout | undefined;
  const checkLater = (bytes: number | undefined) => {
    if (bytes === undefined) return;
    timer = setTimeout(() => {
      const now = upstream.countDirectBytes();
      if (now === bytes) handleSilence();
      else checkLater(now);
    }, silenceMilliseconds);
  };
  const removeWatcher = links.addWatcher(id, () => {
    clearTimeout(timer);
    checkLater(upstream.countDirectBytes());
  });
  upstream.addCloseHandler(() => {
    removeWatcher();
    clearTimeout(timer);
  });
}

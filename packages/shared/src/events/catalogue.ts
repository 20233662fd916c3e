import {ActionEvent, actionEventTexts} from './action_events.js';
import {
  ConfigurationEvent,
  configurationEventTexts,
} from './configuration_events.js';
import {GatewayEvent, gatewayEventTexts} from './gateway_events.js';
import {MembershipEvent, membershipEventTexts} from './membership_events.js';
import {PlacementEvent, placementEventTexts} from './placement_events.js';
import {PlatformEvent, platformEventTexts} from './platform_events.js';
import {ProcessEvent, processEventTexts} from './process_events.js';
import {RoutingEvent, routingEventTexts} from './routing_events.js';

/** The number of any event. */
export type EventNumber =
  | ActionEvent
  | ConfigurationEvent
  | GatewayEvent
  | MembershipEvent
  | PlacementEvent
  | PlatformEvent
  | ProcessEvent
  | RoutingEvent;

/** The text of every event; {name} stands for the value of a field. */
export const eventTexts: Readonly<Record<EventNumber, string>> = {
  ...actionEventTexts,
  ...configurationEventTexts,
  ...gatewayEventTexts,
  ...membershipEventTexts,
  ...placementEventTexts,
  ...platformEventTexts,
  ...processEventTexts,
  ...routingEventTexts,
};

/** The value of an event's field. */
export type EventFieldValue = boolean | number | string;

/** An event to be logged, with the values of its fields. */
export interface LogEvent {
  readonly event: EventNumber;
  readonly fields: Readonly<Record<string, EventFieldValue>>;
}

/**
 * Renders the text of an event with its values; fields without a value stay as
 * {name}.
 */
export function renderEvent(logEvent: LogEvent): string {
  return eventTexts[logEvent.event].replace(
    /\{(\w+)\}/g,
    (whole, name: string) => {
      const value = logEvent.fields[name];
      return value === undefined ? whole : String(value);
    },
  );
}

/** @file event_func.h Looks up rows of the event catalogue. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "state/event_type.h"
#include "state/table/events.h"

namespace gv {

/** @return The row of an event, or nullptr if the catalogue has none. Thread
 * safety: pure. */
const EventRow* FindEventRow(EventId id);

/** @return The name of an event, or "unknown". Thread safety: pure. */
std::string_view EventName(EventId id);

/** @return The event called @p name, or nothing. Thread safety: pure. */
std::optional<EventId> EventByName(std::string_view name);

/** @return The name of a level. Thread safety: pure. */
std::string_view EventLevelName(EventLevel level);

/** @return The text of docs/EVENTS.md, made from the catalogue. Thread safety:
 * pure. */
std::string EventCataloguePage();

}  // namespace gv

/** @file timeline_codec.h The JSON line of one event. */
#pragma once

#include <string>
#include <string_view>

#include "state/event_type.h"
#include "state/verdict_type.h"

namespace gv {

/**
 * Writes one event as a JSON object on one line, without the line end. Fields
 * that are none are left out; ids are strings because JSON readers round large
 * numbers. Thread safety: pure.
 */
std::string EventToLine(const Event& event);

/**
 * Reads what EventToLine wrote.
 * @return The event, or Reason::kBadRequest with the field that is wrong.
 * Thread safety: pure.
 */
Result<Event> EventFromLine(std::string_view line);

}  // namespace gv

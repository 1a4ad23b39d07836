/** @file event_func.cc Reads the event catalogue. */
#include "state/event_func.h"

#include "state/enum_names.h"

namespace gv {
namespace {

constexpr std::array<EnumName<EventLevel>, 4> kEventLevelNames{{
    {EventLevel::kDebug, "debug"},
    {EventLevel::kInfo, "info"},
    {EventLevel::kWarning, "warning"},
    {EventLevel::kError, "error"},
}};

constexpr std::string_view kPageHead =
    "# Events\n\n"
    "Each line of a time line is one numbered event. This page is made from\n"
    "`src/state/table/events.h` by `scripts/print-events`; a test compares the "
    "two.\n\n"
    "| Number | Name | Level | Meaning |\n"
    "|---|---|---|---|\n";

}  // namespace

const EventRow* FindEventRow(EventId id) {
  for (const EventRow& row : kEvents) {
    if (row.id_ == id) {
      return &row;
    }
  }
  return nullptr;
}

std::string_view EventName(EventId id) {
  const EventRow* row = FindEventRow(id);
  return row == nullptr ? std::string_view("unknown") : row->name_;
}

std::optional<EventId> EventByName(std::string_view name) {
  for (const EventRow& row : kEvents) {
    if (row.name_ == name) {
      return row.id_;
    }
  }
  return std::nullopt;
}

std::string_view EventLevelName(EventLevel level) {
  return NameOf(kEventLevelNames, level);
}

std::string EventCataloguePage() {
  std::string page(kPageHead);
  for (const EventRow& row : kEvents) {
    page += "| " + std::to_string(static_cast<int>(row.id_)) + " | `";
    page += row.name_;
    page += "` | ";
    page += EventLevelName(row.level_);
    page += " | ";
    page += row.meaning_;
    page += " |\n";
  }
  return page;
}

}  // namespace gv

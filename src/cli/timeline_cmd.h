/** @file timeline_cmd.h The subcommand that merges the time lines of all
 * processes. */
#pragma once

#include <string>
#include <vector>

#include "state/event_type.h"

namespace gv {

/**
 * Runs "gooseberryvale timeline FILE... [--request=] [--team=] [--target=]
 * [--revision=] [--from=] [--to=] [--output=text|json|html]". Bad lines are
 * reported on standard error and skipped.
 * @return 0 if all files could be read, 1 if some line could not, 2 for wrong
 * arguments. Thread safety: call once, from main.
 */
int RunTimeline(const std::vector<std::string>& args);

/** @return One line for people. Thread safety: pure. */
std::string TimelineText(const Event& event);

/**
 * @return A self-contained page with one lane for each process; @p events must
 * be in causal order. Thread safety: pure.
 */
std::string TimelinePage(const std::vector<Event>& events);

}  // namespace gv

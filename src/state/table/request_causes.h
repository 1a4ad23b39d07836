/** @file request_causes.h What each reason in the log lines of gateways means,
 * and where to look next. */
#pragma once

#include <array>
#include <string_view>

namespace gv {

/** One reason. */
struct RequestCause {
  std::string_view reason_;   ///< As in the log line.
  std::string_view meaning_;  ///< What decided.
  std::string_view look_at_;  ///< What to look at next.
};

inline constexpr auto kRequestCauses = std::to_array<RequestCause>({
    {"overloaded",
     "the whole answer could not have ended in the caller's time, or not begun "
     "before callers of the route disconnect",
     "wait_ms and left_ms, other gateways' forward-sent lines at that time"},
    {"no-lease", "no leader granted a lease within the revocation bound",
     "dependency-lost, leader-elected, disks of the members"},
    {"no-configuration", "the process has had no configuration since its start",
     "process-started and settings-applied of the node, its seeds"},
    {"no-target", "no ready target of the service was left to try",
     "target-draining, target-gone, target-suspected"},
    {"request-crashes-targets",
     "the request or a part of the prompt crashed targets in a row",
     "part-quarantined, engine-crashed"},
    {"target-limit", "all usable targets name limits that are used up",
     "target-limit-named, limit-refused of the leader"},
    {"no-memory", "a target did not reserve memory for the prompt",
     "reservation-refused names the holder"},
    {"stopping", "the gateway was being stopped as planned",
     "process-stopping of the node"},
    {"no-route", "no route matches host and path",
     "the version in config= against what the operator sent"},
    {"unknown-key", "no customer has the key",
     "the version in config= against what the operator sent"},
    {"deadline", "the time of the caller or the route was over",
     "the last forward-sent: its target, wait_ms and left_ms"},
    {"silent", "the target sent nothing for longer than an engine may pause",
     "age_ms of the forward-sent: did the target still register?"},
    {"closed", "the target closed the connection before an answer",
     "target-suspected of the target"},
    {"broken", "the target's answer was cut off",
     "target-suspected of the target"},
    {"not-connected", "the target took no connection",
     "age_ms of the forward-sent: did the target still register?"},
    {"not-its-answer", "the answer was another request's or had no signature",
     "other answers of the target"},
    {"incomplete-stream", "the target ended its stream in mid event",
     "other answers of the target"},
    {"missing-event", "the target left out an event of the stream",
     "other answers of the target"},
});

}  // namespace gv

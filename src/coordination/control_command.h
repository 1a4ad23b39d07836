/** @file control_command.h Commands of the replicated log: a reading of the
 * replicated clock and a message. */
#pragma once

#include <string>
#include <string_view>

#include "protocol/message.h"
#include "state/verdict_type.h"

namespace gv {

/** One command of the replicated log. */
struct ControlCommand {
  int64_t cluster_ms_ = 0;  ///< Replicated clock, in milliseconds.
  Message body_;  ///< SettingsChange, ClaimBegin, ClaimFinish, TargetAnnounce.
};

/** @return The payload of a log entry. Thread safety: pure. */
std::string EncodeCommand(const ControlCommand& command);

/** Decodes what EncodeCommand made, or gives Reason::kStorage. Thread safety:
 * pure. */
Result<ControlCommand> DecodeCommand(std::string_view payload);

}  // namespace gv

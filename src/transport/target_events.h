/** @file target_events.h Reads server-sent events of a streamed answer. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/request_messages.h"

namespace gv {

/** One event of a streamed chat completion. */
struct CompletionEvent {
  std::string text_;     ///< Part of the answer.
  int64_t tokens_ = 0;   ///< Tokens in text_.
  bool done_ = false;    ///< The end mark.
  bool failed_ = false;  ///< The engine reports a failure.
  std::string error_;    ///< The failure, for people.
};

/** Splits a byte stream into events. Thread safety: one owner. */
class CompletionEvents {
 public:
  /** @return The events that end within @p bytes, in order. */
  std::vector<CompletionEvent> Feed(std::string_view bytes);

 private:
  std::string pending_;  ///< Bytes of an unfinished line.
};

/** @return The body of a streamed chat completion call. Thread safety: pure. */
std::string CompletionBody(const Dispatch& dispatch);

/** @return A status as an engine reports it, reachable_ set if it can be read.
 * Thread safety: pure. */
TargetStatus ParseEngineStatus(std::string_view text);

}  // namespace gv

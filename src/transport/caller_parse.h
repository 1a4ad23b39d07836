/** @file caller_parse.h Turns a caller's HTTP request into a CallerRequest. */
#pragma once

#include "protocol/message.h"
#include "state/verdict_type.h"
#include "transport/http_reply.h"

namespace gv {

/** Bounds for what callers may ask. */
struct CallerBounds {
  Duration default_deadline_;  ///< If the caller names none.
  Duration max_deadline_;      ///< Longest allowed.
};

/**
 * Reads a call of a model or a service.
 * @return The request without its id, or Reason::kBadRequest naming header or
 * field. Thread safety: pure.
 */
Result<CallerRequest> ParseCallerRequest(const HttpRequest& http,
                                         const CallerBounds& bounds);

/** @return The estimated number of tokens in a text. Thread safety: pure. */
int64_t EstimateTokens(std::string_view text);

}  // namespace gv

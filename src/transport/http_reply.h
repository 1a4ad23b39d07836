/** @file http_reply.h HTTP answers to callers: statuses, verdict headers and
 * bodies. */
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "protocol/message.h"
#include "state/verdict_type.h"

namespace gv {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpReply = boost::beast::http::response<boost::beast::http::string_body>;

/** @return The HTTP status for a verdict: that of its reason, but none that
 * promises that the request did not run if it may have. Thread safety: pure. */
unsigned StatusOf(const Verdict& verdict);

/** @return The JSON object that describes a failure to a caller. Thread safety:
 * pure. */
std::string VerdictBody(const Verdict& verdict);

/** @return The answer to a failed request, with its verdict headers. Thread
 * safety: pure. */
HttpReply MakeVerdictReply(const Verdict& verdict, RequestId request);

/** @return A plain answer. Thread safety: pure. */
HttpReply MakeReply(unsigned status, std::string_view content_type,
                    std::string body);

/** @return A whole chat completion. Thread safety: pure. */
std::string CompletionBody(RequestId request, const ModelId& model,
                           const std::string& text, int64_t prompt_tokens,
                           int64_t output_tokens);

/** @return One server-sent event with a part of a completion. Thread safety:
 * pure. */
std::string CompletionEvent(RequestId request, const ModelId& model,
                            const std::string& text);

/** @return The events that end a whole completion. Thread safety: pure. */
std::string CompletionEnd(RequestId request, const ModelId& model);

/** @return The event that ends a failed completion. Thread safety: pure. */
std::string CompletionFailure(const Verdict& verdict);

}  // namespace gv

/** @file caller_parse.cc Reads headers and bodies of callers. */
#include "transport/caller_parse.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

#include "state/table/request_names.h"
#include "transport/secret.h"

namespace gv {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr size_t kMaxKeyBytes = 128;
constexpr size_t kBytesPerToken = 4;
constexpr size_t kFirstPrefixTokens = 256;
constexpr size_t kMaxPrefixes = 16;
constexpr int64_t kDefaultOutputTokens = 256;
constexpr int64_t kMaxOutputTokens = 1000000;

Verdict Bad(std::string detail) {
  return NotRun(Reason::kBadRequest, std::move(detail));
}

std::string_view Header(const HttpRequest& http, std::string_view name) {
  const auto found = http.find(name);
  return found == http.end()
             ? std::string_view()
             : std::string_view(found->value().data(), found->value().size());
}

Result<Duration> ParseDeadline(std::string_view text,
                               const CallerBounds& bounds) {
  if (text.empty()) {
    return bounds.default_deadline_;
  }
  int64_t ms = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (error != std::errc() || end != text.data() + text.size() || ms <= 0) {
    return Bad("header X-Deadline-Ms: \"" + std::string(text) +
               "\" is no positive number");
  }
  return std::min(Duration(ms), bounds.max_deadline_);
}

Result<Priority> ParsePriority(std::string_view text) {
  if (text.empty()) {
    return Priority::kNormal;
  }
  const auto priority = ValueOf(kPriorityNames, text);
  if (!priority) {
    return Bad("header X-Priority: \"" + std::string(text) +
               "\" is none of interactive, normal, batch");
  }
  return *priority;
}

/** @return Hashes of prefixes of doubling length, for prefix affinity. */
std::vector<uint64_t> HashPrefixes(std::string_view text) {
  std::vector<uint64_t> hashes;
  size_t bytes = kFirstPrefixTokens * kBytesPerToken;
  while (bytes <= text.size() && hashes.size() < kMaxPrefixes) {
    hashes.push_back(XXH3_64bits(text.data(), bytes));
    bytes *= 2;
  }
  return hashes;
}

/** @return The text of all messages, in order. */
Result<std::string> ReadPrompt(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return Bad("body: messages must be a list that is not empty");
  }
  std::string prompt;
  for (const json& message : *messages) {
    const auto content = message.find("content");
    if (!message.is_object() || content == message.end() ||
        !content->is_string()) {
      return Bad("body: messages: each needs a content of text");
    }
    prompt += prompt.empty() ? "" : "\n";
    prompt += content->get_ref<const std::string&>();
  }
  return prompt;
}

Result<int64_t> ReadMaxTokens(const json& body) {
  const auto found = body.find("max_tokens");
  if (found == body.end()) {
    return kDefaultOutputTokens;
  }
  if (!found->is_number_integer() || found->get<int64_t>() < 1 ||
      found->get<int64_t>() > kMaxOutputTokens) {
    return Bad("body: max_tokens must be a number from 1 to " +
               std::to_string(kMaxOutputTokens));
  }
  return found->get<int64_t>();
}

Result<void> ReadCompletion(const std::string& text, RequestSpec& spec) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return Bad("body: is no JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Bad("body: model is missing");
  }
  spec.kind_ = TargetKind::kEngine;
  spec.model_ = ModelId(model->get<std::string>());
  const auto stream = body.find("stream");
  spec.stream_ =
      stream != body.end() && stream->is_boolean() && stream->get<bool>();
  BOOST_OUTCOME_TRY(auto prompt, ReadPrompt(body));
  BOOST_OUTCOME_TRY(auto max_tokens, ReadMaxTokens(body));
  spec.prompt_tokens_ = EstimateTokens(prompt);
  spec.prefix_hashes_ = HashPrefixes(prompt);
  spec.max_output_tokens_ = max_tokens;
  spec.body_ = std::move(prompt);
  return boost::outcome_v2::success();
}

Result<void> ReadServiceCall(const HttpRequest& http, RequestSpec& spec) {
  const std::string_view target(http.target().data(), http.target().size());
  const std::string_view rest = target.substr(kServicesPath.size());
  const size_t slash = rest.find('/');
  spec.kind_ = TargetKind::kService;
  spec.model_ = ModelId(std::string(rest.substr(0, slash)));
  spec.path_ =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  spec.body_ = http.body();
  spec.idempotent_ = http.method() == http::verb::get ||
                     Header(http, "X-Idempotent") == "true";
  if (spec.model_.IsNone()) {
    return Bad("path: no service is named");
  }
  if (!spec.idempotent_ && spec.key_.IsNone()) {
    return Bad(
        "header Idempotency-Key: is missing; the call may not be repeated");
  }
  return boost::outcome_v2::success();
}

}  // namespace

int64_t EstimateTokens(std::string_view text) {
  return static_cast<int64_t>((text.size() + kBytesPerToken - 1) /
                              kBytesPerToken);
}

Result<CallerRequest> ParseCallerRequest(const HttpRequest& http,
                                         const CallerBounds& bounds) {
  CallerRequest request;
  const std::string_view authorization = Header(http, "Authorization");
  if (authorization.substr(0, kBearer.size()) != kBearer) {
    return NotRun(Reason::kUnauthenticated,
                  "header Authorization: no bearer key");
  }
  request.api_key_hash_ = Sha256Hex(authorization.substr(kBearer.size()));
  const std::string_view key = Header(http, "Idempotency-Key");
  if (key.size() > kMaxKeyBytes) {
    return Bad("header Idempotency-Key: is longer than 128 bytes");
  }
  request.spec_.key_ = IdempotencyKey(std::string(key));
  BOOST_OUTCOME_TRY(request.time_left_,
                    ParseDeadline(Header(http, "X-Deadline-Ms"), bounds));
  BOOST_OUTCOME_TRY(request.spec_.priority_,
                    ParsePriority(Header(http, "X-Priority")));
  const std::string_view target(http.target().data(), http.target().size());
  if (target == kCompletionsPath && http.method() == http::verb::post) {
    BOOST_OUTCOME_TRY(ReadCompletion(http.body(), request.spec_));
    return request;
  }
  if (target.substr(0, kServicesPath.size()) == kServicesPath) {
    BOOST_OUTCOME_TRY(ReadServiceCall(http, request.spec_));
    return request;
  }
  return Bad("path: " + std::string(target) + " is unknown");
}

}  // namespace gv

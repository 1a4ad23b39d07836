/** @file target_events.cc JSON and event forms of an engine's interface. */
#include "transport/target_events.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gv {
namespace {

using nlohmann::json;

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kEndMark = "[DONE]";
constexpr int kHexBase = 16;

json Parse(std::string_view text) {
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

const json* Member(const json& object, const char* name) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto it = object.find(name);
  return it == object.end() ? nullptr : &*it;
}

int64_t IntMember(const json& object, const char* name, int64_t fallback) {
  const json* value = Member(object, name);
  return value != nullptr && value->is_number_integer() ? value->get<int64_t>()
                                                        : fallback;
}

std::string TextMember(const json& object, const char* name) {
  const json* value = Member(object, name);
  return value != nullptr && value->is_string() ? value->get<std::string>()
                                                : std::string();
}

std::string DeltaText(const json& event) {
  const json* choices = Member(event, "choices");
  if (choices == nullptr || !choices->is_array() || choices->empty()) {
    return {};
  }
  const json* delta = Member((*choices)[0], "delta");
  return delta == nullptr ? std::string() : TextMember(*delta, "content");
}

CompletionEvent ReadEvent(std::string_view data) {
  CompletionEvent event;
  if (data == kEndMark) {
    event.done_ = true;
    return event;
  }
  const json parsed = Parse(data);
  if (parsed.is_discarded()) {
    event.failed_ = true;
    event.error_ = "an event is not JSON";
    return event;
  }
  if (const json* error = Member(parsed, "error")) {
    event.failed_ = true;
    event.error_ = TextMember(*error, "message");
    return event;
  }
  event.text_ = DeltaText(parsed);
  const json* usage = Member(parsed, "usage");
  const int64_t fallback = event.text_.empty() ? 0 : 1;
  event.tokens_ = usage == nullptr
                      ? fallback
                      : IntMember(*usage, "completion_tokens", fallback);
  return event;
}

void ReadHeld(const json& status, TargetStatus& out) {
  const json* held = Member(status, "held");
  if (held == nullptr || !held->is_array()) {
    return;
  }
  for (const json& item : *held) {
    out.held_.push_back(
        HeldStream{TextMember(item, "name"), IntMember(item, "tokens", 0)});
  }
}

void ReadCache(const json& status, TargetStatus& out) {
  const json* cache = Member(status, "cache");
  const json* changes = cache == nullptr ? nullptr : Member(*cache, "changes");
  if (changes == nullptr || !changes->is_array()) {
    return;
  }
  out.cache_.sequence_ =
      static_cast<uint64_t>(IntMember(*cache, "sequence", 0));
  for (const json& item : *changes) {
    const std::string hash = TextMember(item, "hash");
    const json* evicted = Member(item, "evicted");
    out.cache_.changes_.push_back(CacheChange{
        std::strtoull(hash.c_str(), nullptr, kHexBase),
        IntMember(item, "tokens", 0),
        evicted != nullptr && evicted->is_boolean() && evicted->get<bool>()});
  }
}

}  // namespace

std::vector<CompletionEvent> CompletionEvents::Feed(std::string_view bytes) {
  std::vector<CompletionEvent> events;
  pending_.append(bytes);
  size_t start = 0;
  for (size_t end = pending_.find('\n'); end != std::string::npos;
       end = pending_.find('\n', start)) {
    std::string_view line(pending_.data() + start, end - start);
    start = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.starts_with(kDataPrefix)) {
      continue;
    }
    line.remove_prefix(kDataPrefix.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    events.push_back(ReadEvent(line));
  }
  pending_.erase(0, start);
  return events;
}

std::string CompletionBody(const Dispatch& dispatch) {
  json body;
  body["model"] = dispatch.spec_.model_.Value();
  body["stream"] = true;
  body["max_tokens"] = dispatch.spec_.max_output_tokens_;
  body["prompt_tokens"] = dispatch.spec_.prompt_tokens_;
  json hashes = json::array();
  for (const uint64_t hash : dispatch.spec_.prefix_hashes_) {
    hashes.push_back(hash);
  }
  body["prefix_hashes"] = std::move(hashes);
  body["messages"] =
      json::array({{{"role", "user"}, {"content", dispatch.spec_.body_}}});
  if (!dispatch.resume_text_.empty()) {
    body["resume_text"] = dispatch.resume_text_;
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

TargetStatus ParseEngineStatus(std::string_view text) {
  TargetStatus status;
  const json parsed = Parse(text);
  if (!parsed.is_object()) {
    return status;
  }
  status.reachable_ = true;
  status.target_start_ = static_cast<uint64_t>(IntMember(parsed, "start", 0));
  if (const json* load = Member(parsed, "load")) {
    status.load_.running_streams_ = IntMember(*load, "running_streams", 0);
    status.load_.queued_prefill_tokens_ =
        IntMember(*load, "queued_prefill_tokens", 0);
    status.load_.used_memory_tokens_ =
        IntMember(*load, "used_memory_tokens", 0);
    status.load_.age_ = Duration(IntMember(*load, "age_ms", 0));
  }
  ReadHeld(parsed, status);
  ReadCache(parsed, status);
  return status;
}

}  // namespace gv

/** @file timeline_codec.cc Writes and reads the JSON line of one event. */
#include "state/timeline_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "state/event_func.h"

namespace gv {
namespace {

using nlohmann::json;

void PutName(json& out, const char* key, const std::string& value) {
  if (!value.empty()) {
    out[key] = value;
  }
}

void PutNumber(json& out, const char* key, uint64_t value) {
  if (value != 0) {
    out[key] = std::to_string(value);
  }
}

std::string GetName(const json& in, const char* key) {
  const auto found = in.find(key);
  return found == in.end() ? std::string() : found->get<std::string>();
}

uint64_t GetNumber(const json& in, const char* key) {
  const std::string text = GetName(in, key);
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (!text.empty() && (parsed.ec != std::errc() || parsed.ptr != end)) {
    throw std::runtime_error(std::string(key) + ": \"" + text +
                             "\" is no number");
  }
  return value;
}

Event ReadEvent(const json& in) {
  Event event;
  event.id_ = static_cast<EventId>(in.at("event").get<uint16_t>());
  event.node_ = NodeId(in.at("node").get<std::string>());
  event.hlc_.wall_ms_ = in.at("wall_ms").get<int64_t>();
  event.hlc_.counter_ = in.at("counter").get<uint32_t>();
  event.request_ = RequestId(GetNumber(in, "request"));
  event.team_ = TeamId(GetName(in, "team"));
  event.target_ = TargetId(GetName(in, "target"));
  event.revision_ = Revision(GetNumber(in, "revision"));
  event.detail_ = GetName(in, "detail");
  return event;
}

}  // namespace

std::string EventToLine(const Event& event) {
  json out;
  out["event"] = static_cast<uint16_t>(event.id_);
  out["name"] = EventName(event.id_);
  out["node"] = event.node_.Value();
  out["wall_ms"] = event.hlc_.wall_ms_;
  out["counter"] = event.hlc_.counter_;
  PutNumber(out, "request", event.request_.Value());
  PutName(out, "team", event.team_.Value());
  PutName(out, "target", event.target_.Value());
  PutNumber(out, "revision", event.revision_.Value());
  PutName(out, "detail", event.detail_);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Event> EventFromLine(std::string_view line) {
  try {
    return ReadEvent(json::parse(line));
  } catch (const std::exception& error) {
    return NotRun(Reason::kBadRequest,
                  std::string("event line: ") + error.what());
  }
}

}  // namespace gv

/** @file replay_trace.cc Writes and reads the lines of a trace. */
#include "coordination/replay_trace.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "protocol/codec.h"
#include "state/field_codec.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr int kTraceVersion = 1;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Envelope ReadEnvelope(const json& value) {
  auto envelope = EnvelopeFromJson(Dump(value));
  if (!envelope) {
    throw std::runtime_error(envelope.error().detail_);
  }
  return envelope.value();
}

TraceHeader ReadHeader(const json& line) {
  const int version = line.at("trace").get<int>();
  if (version != kTraceVersion) {
    throw std::runtime_error("trace version " + std::to_string(version) +
                             " is not " + std::to_string(kTraceVersion));
  }
  TraceHeader header;
  header.role_ = line.at("role").get<std::string>();
  FromJsonField(line.at("self"), header.self_);
  header.seed_ = line.at("seed").get<uint64_t>();
  header.settings_ = Dump(line.at("settings"));
  return header;
}

void ReadStepLine(const json& line, size_t number, Trace& trace) {
  if (line.contains("in")) {
    TraceStep& step = trace.steps_.emplace_back();
    step.line_ = number;
    step.now_ = TimePoint(line.at("at").get<int64_t>());
    step.input_ = ReadEnvelope(line.at("in"));
    return;
  }
  if (trace.steps_.empty()) {
    throw std::runtime_error("actions without an input");
  }
  for (const json& action : line.at("out")) {
    trace.steps_.back().actions_.push_back(ReadEnvelope(action));
  }
}

void ReadLine(std::string_view text, size_t number, Trace& trace) {
  const json line = json::parse(text);
  if (number == 1) {
    trace.header_ = ReadHeader(line);
  } else {
    ReadStepLine(line, number, trace);
  }
}

}  // namespace

std::string TraceHeaderLine(const TraceHeader& header) {
  json line;
  line["trace"] = kTraceVersion;
  line["role"] = header.role_;
  line["self"] = ToJsonField(header.self_);
  line["seed"] = header.seed_;
  const json settings = json::parse(header.settings_, nullptr, false);
  line["settings"] =
      settings.is_discarded() ? json(header.settings_) : settings;
  return Dump(line);
}

std::string TraceInputLine(TimePoint now, const Envelope& input) {
  return "{\"at\":" + std::to_string(now.Ms()) +
         ",\"in\":" + EnvelopeToJson(input) + "}";
}

std::string TraceActionsLine(const std::vector<Envelope>& actions) {
  std::string line = "{\"out\":[";
  for (const Envelope& action : actions) {
    if (line.back() != '[') {
      line += ',';
    }
    line += EnvelopeToJson(action);
  }
  return line + "]}";
}

Result<Trace> ReadTrace(std::string_view name, std::string_view text) {
  Trace trace;
  size_t number = 0;
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    ++number;
    try {
      ReadLine(line, number, trace);
    } catch (const std::exception& error) {
      return NotRun(Reason::kBadRequest, std::string(name) + ":" +
                                             std::to_string(number) + ": " +
                                             error.what());
    }
  }
  if (number == 0) {
    return NotRun(Reason::kBadRequest, std::string(name) + ": is empty");
  }
  return trace;
}

}  // namespace gv

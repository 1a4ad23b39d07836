/** @file codec.cc MessagePack and JSON forms of messages. */
#include "protocol/codec.h"

#include <array>
#include <utility>

#include "state/field_codec.h"
#include "state/json_text.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr size_t kMessageCount = std::variant_size_v<MessageVariant>;

/** @return The plain name of a type, cut from the compiler's text for it. */
template <class T>
constexpr std::string_view TypeName() {
  std::string_view text = __PRETTY_FUNCTION__;
  const size_t start = text.find("T = ") + 4;
  const size_t end = text.find_first_of(";]", start);
  std::string_view name = text.substr(start, end - start);
  const size_t colon = name.rfind(':');
  return colon == std::string_view::npos ? name : name.substr(colon + 1);
}

template <size_t... I>
constexpr std::array<std::string_view, kMessageCount> MakeNames(
    std::index_sequence<I...>) {
  return {TypeName<std::variant_alternative_t<I, MessageVariant>>()...};
}

constexpr auto kMessageNames =
    MakeNames(std::make_index_sequence<kMessageCount>());

using Reader = void (*)(const json&, Message&);

template <size_t I>
void ReadAlternative(const json& fields, Message& message) {
  FromJsonField(fields, message.emplace<I>());
}

template <size_t... I>
constexpr std::array<Reader, kMessageCount> MakeReaders(
    std::index_sequence<I...>) {
  return {&ReadAlternative<I>...};
}

constexpr auto kReaders =
    MakeReaders(std::make_index_sequence<kMessageCount>());

json BodyFields(const Message& message) {
  return std::visit([](const auto& body) { return ToJsonField(body); },
                    message);
}

/** @return The number of a message, checked later. Throws FieldError. */
size_t ReadIndex(const json& json) {
  size_t index = 0;
  FromJsonField(json, index);
  return index;
}

void ReadBody(size_t index, const json& fields, Message& message) {
  if (index >= kMessageCount) {
    throw FieldError("unknown message number " + std::to_string(index));
  }
  kReaders[index](fields, message);
}

size_t IndexOfName(const std::string& name) {
  for (size_t i = 0; i < kMessageCount; ++i) {
    if (kMessageNames[i] == name) {
      return i;
    }
  }
  throw FieldError("unknown message \"" + name + "\"");
}

json EnvelopeHead(const Envelope& envelope) {
  json head = json::array();
  head.push_back(ToJsonField(envelope.from_));
  head.push_back(ToJsonField(envelope.to_));
  head.push_back(ToJsonField(envelope.hlc_));
  return head;
}

void ReadHead(const json& parts, Envelope& envelope) {
  if (!parts.is_array() || parts.size() != 5) {
    throw FieldError("an envelope has five parts");
  }
  FromJsonField(parts[0], envelope.from_);
  FromJsonField(parts[1], envelope.to_);
  FromJsonField(parts[2], envelope.hlc_);
}

std::string ToBytes(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

/** Runs a decoder and turns every exception into a verdict. */
template <class T, class Decode>
Result<T> Guard(const char* what, Decode decode) {
  try {
    return decode();
  } catch (const std::exception& error) {
    return NotRun(Reason::kBadRequest, std::string(what) + ": " + error.what());
  }
}

}  // namespace

std::string_view MessageName(const Message& message) {
  return kMessageNames[message.index()];
}

std::string EncodeEnvelope(const Envelope& envelope) {
  json parts = EnvelopeHead(envelope);
  parts.push_back(envelope.body_.index());
  parts.push_back(BodyFields(envelope.body_));
  return ToBytes(parts);
}

Result<Envelope> DecodeEnvelope(std::string_view bytes) {
  return Guard<Envelope>("envelope", [&]() {
    const json parts = json::from_msgpack(bytes.begin(), bytes.end());
    Envelope envelope;
    ReadHead(parts, envelope);
    ReadBody(ReadIndex(parts[3]), parts[4], envelope.body_);
    return envelope;
  });
}

std::string EnvelopeToJson(const Envelope& envelope) {
  json parts = EnvelopeHead(envelope);
  parts.push_back(MessageName(envelope.body_));
  parts.push_back(BodyFields(envelope.body_));
  return PrintJson(std::move(parts));
}

Result<Envelope> EnvelopeFromJson(std::string_view text) {
  return Guard<Envelope>("envelope", [&]() {
    const json parts = json::parse(text);
    Envelope envelope;
    ReadHead(parts, envelope);
    ReadBody(IndexOfName(parts[3].get<std::string>()), parts[4],
             envelope.body_);
    return envelope;
  });
}

std::string EncodeMessage(const Message& message) {
  json parts = json::array();
  parts.push_back(message.index());
  parts.push_back(BodyFields(message));
  return ToBytes(parts);
}

Result<Message> DecodeMessage(std::string_view bytes) {
  return Guard<Message>("message", [&]() {
    const json parts = json::from_msgpack(bytes.begin(), bytes.end());
    if (!parts.is_array() || parts.size() != 2) {
      throw FieldError("a message has two parts");
    }
    Message message;
    ReadBody(ReadIndex(parts[0]), parts[1], message);
    return message;
  });
}

}  // namespace gv

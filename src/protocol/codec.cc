/** @file codec.cc MessagePack and JSON forms of messages. */
#include "protocol/codec.h"

#include <array>
#include <utility>

#include "state/field_codec.h"
#include "state/json_text.h"
#include "state/pack_codec.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr size_t kMessageCount = std::variant_size_v<MessageVariant>;
constexpr size_t kEnvelopeParts = 5;
constexpr size_t kMessageParts = 2;

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
using Unpacker = void (*)(PackReader&, Message&);

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

template <size_t I>
void UnpackAlternative(PackReader& in, Message& message) {
  UnpackField(in, message.emplace<I>());
}

template <size_t... I>
constexpr std::array<Unpacker, kMessageCount> MakeUnpackers(
    std::index_sequence<I...>) {
  return {&UnpackAlternative<I>...};
}

constexpr auto kUnpackers =
    MakeUnpackers(std::make_index_sequence<kMessageCount>());

void PackBody(const Message& message, PackWriter& out) {
  out.Unsigned(message.index());
  std::visit([&out](const auto& body) { PackField(body, out); }, message);
}

void UnpackBody(PackReader& in, Message& message) {
  const auto index = UnpackWhole<size_t>(in);
  if (index >= kMessageCount) {
    throw FieldError("unknown message number " + std::to_string(index));
  }
  kUnpackers[index](in, message);
  if (!in.IsDone()) {
    throw FieldError("bytes after the message");
  }
}

json BodyFields(const Message& message) {
  return std::visit([](const auto& body) { return ToJsonField(body); },
                    message);
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
  if (!parts.is_array() || parts.size() != kEnvelopeParts) {
    throw FieldError("an envelope has five parts");
  }
  FromJsonField(parts[0], envelope.from_);
  FromJsonField(parts[1], envelope.to_);
  FromJsonField(parts[2], envelope.hlc_);
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
  PackWriter out;
  out.Array(kEnvelopeParts);
  PackField(envelope.from_, out);
  PackField(envelope.to_, out);
  PackField(envelope.hlc_, out);
  PackBody(envelope.body_, out);
  return out.Take();
}

Result<Envelope> DecodeEnvelope(std::string_view bytes) {
  return Guard<Envelope>("envelope", [&]() {
    PackReader in(bytes);
    if (in.Array() != kEnvelopeParts) {
      throw FieldError("an envelope has five parts");
    }
    Envelope envelope;
    UnpackField(in, envelope.from_);
    UnpackField(in, envelope.to_);
    UnpackField(in, envelope.hlc_);
    UnpackBody(in, envelope.body_);
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
    kReaders[IndexOfName(parts[3].get<std::string>())](parts[4],
                                                       envelope.body_);
    return envelope;
  });
}

std::string EncodeMessage(const Message& message) {
  PackWriter out;
  out.Array(kMessageParts);
  PackBody(message, out);
  return out.Take();
}

Result<Message> DecodeMessage(std::string_view bytes) {
  return Guard<Message>("message", [&]() {
    PackReader in(bytes);
    if (in.Array() != kMessageParts) {
      throw FieldError("a message has two parts");
    }
    Message message;
    UnpackBody(in, message);
    return message;
  });
}

}  // namespace gv

/** @file codec.h Encodes envelopes as MessagePack for the wire and as JSON for
 * traces. */
#pragma once

#include <string>
#include <string_view>

#include "protocol/message.h"
#include "state/verdict_type.h"

namespace gv {

/** @return The MessagePack form of an envelope. Thread safety: pure. */
std::string EncodeEnvelope(const Envelope& envelope);

/**
 * Decodes what EncodeEnvelope made. Missing trailing fields keep their defaults
 * and surplus ones are ignored, so that neighbouring versions can talk.
 * @return The envelope, or Reason::kBadRequest with the field that is wrong.
 * Thread safety: pure.
 */
Result<Envelope> DecodeEnvelope(std::string_view bytes);

/** @return The JSON text of an envelope, with the name of the message. Thread
 * safety: pure. */
std::string EnvelopeToJson(const Envelope& envelope);

/** Decodes what EnvelopeToJson made. Thread safety: pure. */
Result<Envelope> EnvelopeFromJson(std::string_view text);

/** @return The MessagePack form of a message without an envelope, for example a
 * log command. */
std::string EncodeMessage(const Message& message);

/** Decodes what EncodeMessage made. Thread safety: pure. */
Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace gv

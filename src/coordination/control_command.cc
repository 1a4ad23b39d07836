/** @file control_command.cc Encodes commands of the replicated log. */
#include "coordination/control_command.h"

#include <utility>

#include "protocol/codec.h"

namespace gv {
namespace {

constexpr size_t kClockBytes = 8;
constexpr int kByteBits = 8;

}  // namespace

std::string EncodeCommand(const ControlCommand& command) {
  std::string payload;
  const auto clock = static_cast<uint64_t>(command.cluster_ms_);
  for (size_t i = 0; i < kClockBytes; ++i) {
    payload.push_back(static_cast<char>((clock >> (kByteBits * i)) & 0xff));
  }
  return payload + EncodeMessage(command.body_);
}

Result<ControlCommand> DecodeCommand(std::string_view payload) {
  if (payload.size() < kClockBytes) {
    return NotRun(Reason::kStorage, "log command: the clock is cut off");
  }
  uint64_t clock = 0;
  for (size_t i = 0; i < kClockBytes; ++i) {
    clock |= static_cast<uint64_t>(static_cast<unsigned char>(payload[i]))
             << (kByteBits * i);
  }
  auto body = DecodeMessage(payload.substr(kClockBytes));
  if (!body) {
    return NotRun(Reason::kStorage, "log command: " + body.error().detail_);
  }
  return ControlCommand{static_cast<int64_t>(clock), std::move(body.value())};
}

}  // namespace gv

/** @file replay_core.cc Compares recorded and actual actions. */
#include "coordination/replay_core.h"

#include "protocol/codec.h"

namespace gv {
namespace {

std::string Comparable(Envelope action) {
  action.hlc_ = HlcTime{};
  return EnvelopeToJson(action);
}

}  // namespace

std::string CompareActions(const std::vector<Envelope>& recorded,
                           const std::vector<Envelope>& actual) {
  for (size_t i = 0; i < recorded.size() || i < actual.size(); ++i) {
    const std::string want =
        i < recorded.size() ? Comparable(recorded[i]) : "nothing";
    const std::string got =
        i < actual.size() ? Comparable(actual[i]) : "nothing";
    if (want != got) {
      std::string text = "action " + std::to_string(i + 1);
      text += ": recorded ";
      text += want;
      text += ", but the core did ";
      text += got;
      return text;
    }
  }
  return {};
}

}  // namespace gv

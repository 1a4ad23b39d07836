/** @file platform_fuzz.cc Any bytes from callers, targets and operators of the
 * users' platform are decoded or refused, and events are never joined. */
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "coordination/gateway/evacuation_set.h"
#include "coordination/gateway/event_splitter.h"
#include "coordination/gateway/routing_table.h"
#include "platform/platform_codec.h"
#include "protocol/http_framing.h"
#include "tests/support/request_heads.h"

namespace {

/** Ends the run if a property does not hold. */
void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

void ReadHeaders(std::string_view bytes) {
  for (const char* name :
       {"Gooseberryvale-Token-Usage", "Gooseberryvale-Deadline-Ms",
        "Last-Event-Id", "Keep-Alive"}) {
    gv::HttpFields fields;
    fields.set(name, {bytes.data(), bytes.size()});
    const gv::CallerFacts caller = gv::platform::Codec().read_caller_(fields);
    Require(!caller.deadline_ || caller.deadline_->Ms() >= 0);
    Require(caller.prompt_tokens_ >= 0 && caller.answer_tokens_ >= 0);
    const gv::AnswerFacts answer =
        gv::platform::Codec().read_answer_(200, fields);
    Require(!answer.keep_alive_ || answer.keep_alive_->Ms() >= 0);
  }
}

/** An entry or a snapshot head that is read is written back unchanged. */
void ReadEvacuations(std::string_view bytes) {
  const auto order = gv::DecodeEvacuationEntry(bytes);
  Require(!order || gv::EncodeEvacuationEntry(*order) == bytes);
  std::string_view rest = bytes;
  const auto set = gv::EvacuationSet::TakeSnapshotHead(rest);
  const std::string_view head = bytes.substr(0, bytes.size() - rest.size());
  std::string_view again = head;
  const auto second = gv::EvacuationSet::TakeSnapshotHead(again);
  Require(!set ||
          (second && again.empty() && second->Revision() == set->Revision() &&
           second->Names() == set->Names()));
}

/** A head that comes in two pieces is judged alike, and no further bytes make a
 * doubtful head sound. */
void ScanHeads(std::string_view bytes) {
  const gv::HeadScan whole = gv::ScanHead(bytes);
  const gv::HeadScan part = gv::ScanHead(bytes.substr(0, bytes.size() / 2));
  Require(part.fault_ == gv::HeadFault::kNone ||
          whole.fault_ != gv::HeadFault::kNone);
  Require(part.size_ == 0 || part.size_ == whole.size_);
  const size_t number = bytes.empty() ? 0 : static_cast<uint8_t>(bytes[0]);
  const gv::RequestHeadRow& row =
      gv::kRequestHeads.at(number % gv::kRequestHeads.size());
  const gv::HeadScan more =
      gv::ScanHead("POST / HTTP/1.1\r\n" + std::string(row.fields_) +
                   std::string(bytes.substr(bytes.empty() ? 0 : 1)));
  Require(row.fault_ == gv::HeadFault::kNone || more.size_ == 0 ||
          more.fault_ != gv::HeadFault::kNone);
}

/** The same bytes in two pieces give the same events. */
void SplitEvents(std::string_view bytes) {
  gv::EventSplitter whole(std::nullopt);
  const std::string all = whole.Add(bytes);
  gv::EventSplitter parts(std::nullopt);
  const size_t middle = bytes.size() / 2;
  std::string joined = parts.Add(bytes.substr(0, middle));
  joined += parts.Add(bytes.substr(middle));
  Require(all == joined && whole.Count() == parts.Count());
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  // What an earlier input left behind makes no difference.
  static gv::KnownRoutes known;
  gv::KnownRoutes none;
  const auto configuration = gv::platform::DecodeConfiguration(bytes, known);
  const auto again = gv::platform::DecodeConfiguration(bytes, none);
  Require(configuration.has_value() == again.has_value());
  if (configuration.has_value()) {
    (void)gv::RoutingTable::Build(configuration.value());
  }
  (void)gv::platform::DecodeRegistration("i-1", bytes);
  for (const char* method : {"PUT", "POST", "DELETE", "GET"}) {
    (void)gv::platform::Codec().read_control_(method, bytes);
  }
  ReadEvacuations(bytes);
  ScanHeads(bytes);
  ReadHeaders(bytes);
  SplitEvents(bytes);
  return 0;
}

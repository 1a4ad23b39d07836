/** @file codec_test.cc Messages survive both codecs, and bad bytes get a
 * verdict. */
#include "protocol/codec.h"

#include <doctest/doctest.h>

namespace gv {
namespace {

Envelope SampleEnvelope() {
  Dispatch dispatch;
  dispatch.spec_.request_ = RequestId(7);
  dispatch.spec_.team_ = TeamId("carvers");
  dispatch.spec_.prefix_hashes_ = {1, UINT64_MAX};
  dispatch.spec_.body_ = "glaze note";
  dispatch.time_left_ = 1500_ms;
  return Envelope{{NodeId("entry-1"), Port::kEntry},
                  {NodeId("agent-1"), Port::kAgent},
                  HlcTime{123456789, 2},
                  dispatch};
}

void CheckSample(const Result<Envelope>& decoded) {
  REQUIRE(decoded.has_value());
  CHECK(decoded.value().from_.node_ == NodeId("entry-1"));
  CHECK(decoded.value().hlc_ == HlcTime{123456789, 2});
  const auto& dispatch = std::get<Dispatch>(decoded.value().body_);
  CHECK(dispatch.spec_.request_ == RequestId(7));
  CHECK(dispatch.spec_.prefix_hashes_.back() == UINT64_MAX);
  CHECK(dispatch.spec_.body_ == "glaze note");
  CHECK(dispatch.time_left_ == 1500_ms);
}

TEST_CASE("codec: an envelope survives MessagePack and JSON") {
  const Envelope envelope = SampleEnvelope();
  CheckSample(DecodeEnvelope(EncodeEnvelope(envelope)));
  CheckSample(EnvelopeFromJson(EnvelopeToJson(envelope)));
  CHECK(MessageName(envelope.body_) == "Dispatch");
}

TEST_CASE("codec: bytes that are no text survive both codecs") {
  std::string bytes;
  for (int byte = 0; byte < 256; ++byte) {
    bytes.push_back(static_cast<char>(byte));
  }
  LogEntry entry;
  entry.payload_ = bytes;
  DiskAppend append;
  append.entries_ = {entry};
  const Envelope envelope{
      {NodeId("c1"), Port::kControl}, {NodeId("c1"), Port::kDisk}, {}, append};
  for (const auto& decoded : {DecodeEnvelope(EncodeEnvelope(envelope)),
                              EnvelopeFromJson(EnvelopeToJson(envelope))}) {
    REQUIRE(decoded.has_value());
    CHECK(std::get<DiskAppend>(decoded.value().body_).entries_ ==
          append.entries_);
  }
}

TEST_CASE("codec: truncated and foreign bytes give a verdict") {
  const std::string bytes = EncodeEnvelope(SampleEnvelope());
  for (size_t length = 0; length < bytes.size(); ++length) {
    const auto decoded =
        DecodeEnvelope(std::string_view(bytes).substr(0, length));
    REQUIRE_FALSE(decoded.has_value());
    CHECK(decoded.error().reason_ == Reason::kBadRequest);
  }
  CHECK_FALSE(EnvelopeFromJson("{}").has_value());
  CHECK_FALSE(
      EnvelopeFromJson(R"([["a",1],["b",1],[0,0],"Nothing",[]])").has_value());
}

TEST_CASE("codec: numbers that a field can't hold give a verdict") {
  const auto decodes = [](const std::string& prompt_tokens) {
    return EnvelopeFromJson(R"([["a",1],["b",1],[0,0],"PromptAsk",[1,"s",)" +
                            prompt_tokens + "]]")
        .has_value();
  };
  CHECK(decodes("7"));
  CHECK(decodes("-7"));
  for (const char* number :
       {"-1.4e57", "8.4e298", "1.5", "18446744073709551615"}) {
    CHECK_FALSE(decodes(number));
  }
  const auto with_counter = [](const std::string& counter) {
    return EnvelopeFromJson(R"([["a",1],["b",1],[0,)" + counter +
                            R"(],"PromptAsk",[]])")
        .has_value();
  };
  CHECK(with_counter("4294967295"));
  CHECK_FALSE(with_counter("4294967296"));
  CHECK_FALSE(with_counter("-1"));
}

}  // namespace
}  // namespace gv

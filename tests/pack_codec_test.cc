/** @file pack_codec_test.cc The MessagePack codec agrees with the JSON library
 * and bounds what it reads. */
#include "state/pack_codec.h"

#include <doctest/doctest.h>

#include <limits>
#include <nlohmann/json.hpp>

#include "protocol/codec.h"

namespace gv {
namespace {

using nlohmann::json;

struct Sample {
  int64_t number_ = 0;
  std::string text_;
  std::vector<int64_t> none_;
  bool flag_ = false;
  double real_ = 0;
  friend bool operator==(const Sample&, const Sample&) = default;
};

struct Narrow {
  int64_t number_ = 0;
};

std::string BytesOf(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

template <class T>
T Read(const std::string& bytes) {
  PackReader in(bytes);
  T value{};
  UnpackField(in, value);
  CHECK(in.IsDone());
  return value;
}

TEST_CASE("pack codec: whole numbers agree with the library at all widths") {
  for (int bit = 0; bit < 64; ++bit) {
    for (const int64_t off : {-1, 0, 1}) {
      const uint64_t bits = (uint64_t{1} << bit) + static_cast<uint64_t>(off);
      for (const auto number :
           {static_cast<int64_t>(bits), static_cast<int64_t>(~bits)}) {
        PackWriter out;
        out.Signed(number);
        const std::string bytes = out.Take();
        CHECK(bytes == BytesOf(number));
        CHECK(Read<int64_t>(bytes) == number);
      }
      PackWriter out;
      out.Unsigned(bits);
      CHECK(Read<uint64_t>(BytesOf(bits)) == bits);
      CHECK(out.Take() == BytesOf(bits));
    }
  }
}

TEST_CASE("pack codec: texts and lists of all lengths agree") {
  for (const size_t size : {0, 1, 15, 16, 31, 32, 255, 256, 65535, 65536}) {
    const std::string text(size, 'x');
    PackWriter out;
    PackField(text, out);
    CHECK(out.Take() == BytesOf(text));
    CHECK(Read<std::string>(BytesOf(text)) == text);
    const std::vector<int64_t> list(size, 7);
    PackField(list, out);
    CHECK(out.Take() == BytesOf(list));
    CHECK(Read<std::vector<int64_t>>(BytesOf(list)) == list);
  }
}

TEST_CASE("pack codec: structs of neighbouring versions can be read") {
  const auto longer = Read<Narrow>(
      BytesOf(json::array({7, "new", json::array({1, {true}}), 1.5, nullptr})));
  CHECK(longer.number_ == 7);
  const auto shorter = Read<Sample>(BytesOf(json::array({7, "text"})));
  CHECK(shorter == Sample{7, "text", {}, false, 0});
  CHECK(Read<double>(BytesOf(-3)) == -3);
  CHECK(Read<double>(BytesOf(0.5)) == 0.5);
}

TEST_CASE("pack codec: a count beyond the bytes and deep nesting are errors") {
  std::vector<std::string> list;
  const std::string huge("\xdd\xff\xff\xff\xff", 5);
  PackReader counted(huge);
  CHECK_THROWS_AS(UnpackField(counted, list), FieldError);
  std::string deep = "\x92\x01" + std::string(100000, '\x91');
  deep += '\x01';
  Narrow narrow;
  PackReader nested(deep);
  CHECK_THROWS_AS(UnpackField(nested, narrow), FieldError);
  const std::string large = BytesOf(300);
  PackReader number(large);
  CHECK_THROWS_AS(UnpackWhole<uint8_t>(number), FieldError);
}

TEST_CASE("pack codec: an envelope is what the library reads") {
  PromptAsk ask;
  ask.service_ = "model";
  ask.prompt_tokens_ = -5;
  ask.tried_ = {TargetId("i-1")};
  const Envelope envelope{
      {NodeId("a"), Port::kEntry}, {NodeId("b"), Port::kEntry}, {}, ask};
  const json parts = json::from_msgpack(EncodeEnvelope(envelope));
  REQUIRE(parts.size() == 5);
  CHECK(parts[4] == ToJsonField(ask));
}

}  // namespace
}  // namespace gv

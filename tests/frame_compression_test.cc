/** @file frame_compression_test.cc Frames survive compression, and damaged ones
 * are noticed. */
#include "transport/frame_compression.h"

#include <doctest/doctest.h>

namespace gv {
namespace {

constexpr size_t kMost = 1UL << 20;

std::string Routes() {
  std::string text;
  for (int i = 0; i < 1000; ++i) {
    text += R"({"name":"r-)" + std::to_string(i) +
            R"(","timeoutMs":10000,"service":"model"})";
  }
  return text;
}

TEST_CASE("frame compression: large frames shrink to a fifth and come back") {
  const std::string text = Routes();
  const auto packed = CompressFrame(text);
  REQUIRE(packed.has_value());
  CHECK(packed->size() * 5 < text.size());
  CHECK(ExpandFrame(*packed, kMost) == text);
  CHECK_FALSE(CompressFrame("small").has_value());
}

TEST_CASE("frame compression: damaged and oversized frames are refused") {
  const std::string packed = *CompressFrame(Routes());
  for (size_t length = 0; length < packed.size(); length += 7) {
    CHECK_FALSE(ExpandFrame(packed.substr(0, length), kMost).has_value());
  }
  std::string damaged = packed;
  damaged[damaged.size() / 2] = static_cast<char>(~damaged[damaged.size() / 2]);
  CHECK(ExpandFrame(damaged, kMost) != Routes());
  CHECK_FALSE(ExpandFrame(packed, 1000).has_value());
}

}  // namespace
}  // namespace gv

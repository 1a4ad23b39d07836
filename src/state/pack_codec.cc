/** @file pack_codec.cc Writes and reads MessagePack values. */
#include "state/pack_codec.h"

#include <bit>

namespace gv {
namespace {

// Types of the MessagePack specification.
constexpr unsigned char kFixArray = 0x90;
constexpr unsigned char kFixText = 0xa0;
constexpr unsigned char kNil = 0xc0;
constexpr unsigned char kFalse = 0xc2;
constexpr unsigned char kTrue = 0xc3;
constexpr unsigned char kBin8 = 0xc4;
constexpr unsigned char kExt8 = 0xc7;
constexpr unsigned char kFloat32 = 0xca;
constexpr unsigned char kFloat64 = 0xcb;
constexpr unsigned char kUnsigned8 = 0xcc;
constexpr unsigned char kSigned8 = 0xd0;
constexpr unsigned char kFixExt1 = 0xd4;
constexpr unsigned char kText8 = 0xd9;
constexpr unsigned char kArray16 = 0xdc;
constexpr unsigned char kMap16 = 0xde;
constexpr unsigned char kNegativeFix = 0xe0;
constexpr unsigned char kFixMap = 0x80;
constexpr size_t kMostFixArray = 16;
constexpr size_t kMostFixText = 32;
constexpr size_t kByteBits = 8;

/** @return Bytes that hold @p value: 1, 2, 4 or 8. */
size_t WidthOf(uint64_t value) {
  if (value <= UINT8_MAX) {
    return 1;
  }
  if (value <= UINT16_MAX) {
    return 2;
  }
  return value <= UINT32_MAX ? 4 : 8;
}

/** @return The place of a width among 1, 2, 4 and 8. */
unsigned char StepOf(size_t width) {
  return static_cast<unsigned char>(std::countr_zero(width));
}

[[noreturn]] void Fail(const char* what) {
  throw FieldError(std::string("expected ") + what);
}

bool IsWithin(unsigned char type, unsigned char first, size_t count) {
  return type >= first && static_cast<size_t>(type - first) < count;
}

}  // namespace

void PackWriter::Head(unsigned char type, uint64_t value, size_t width) {
  bytes_.push_back(static_cast<char>(type));
  for (size_t i = width; i > 0; --i) {
    bytes_.push_back(static_cast<char>(value >> (kByteBits * (i - 1))));
  }
}

void PackWriter::Array(size_t size) {
  if (size < kMostFixArray) {
    Head(static_cast<unsigned char>(kFixArray | size), 0, 0);
  } else if (size <= UINT16_MAX) {
    Head(kArray16, size, 2);
  } else {
    Head(kArray16 + 1, size, 4);
  }
}

void PackWriter::Unsigned(uint64_t value) {
  if (value < kFixMap) {
    Head(static_cast<unsigned char>(value), 0, 0);
    return;
  }
  const size_t width = WidthOf(value);
  Head(kUnsigned8 + StepOf(width), value, width);
}

void PackWriter::Signed(int64_t value) {
  constexpr int64_t kLeastFix = -32;
  if (value >= 0) {
    Unsigned(static_cast<uint64_t>(value));
  } else if (value >= kLeastFix) {
    Head(static_cast<unsigned char>(value), 0, 0);
  } else {
    // A negative number fits if the one without its sign fits one bit less.
    const size_t width = WidthOf(static_cast<uint64_t>(~value) << 1U);
    Head(kSigned8 + StepOf(width), static_cast<uint64_t>(value), width);
  }
}

void PackWriter::Real(double value) {
  Head(kFloat64, std::bit_cast<uint64_t>(value), sizeof(value));
}

void PackWriter::Bool(bool value) { Head(value ? kTrue : kFalse, 0, 0); }

void PackWriter::Text(std::string_view value) {
  if (value.size() < kMostFixText) {
    Head(static_cast<unsigned char>(kFixText | value.size()), 0, 0);
  } else {
    const size_t width = WidthOf(value.size());
    Head(kText8 + StepOf(width), value.size(), width);
  }
  bytes_ += value;
}

std::string_view PackReader::Raw(size_t size) {
  if (size > rest_.size()) {
    Fail("more bytes");
  }
  const std::string_view raw = rest_.substr(0, size);
  rest_.remove_prefix(size);
  return raw;
}

unsigned char PackReader::Byte() {
  return static_cast<unsigned char>(Raw(1).front());
}

uint64_t PackReader::Big(size_t width) {
  uint64_t value = 0;
  for (const char byte : Raw(width)) {
    value = value << kByteBits | static_cast<unsigned char>(byte);
  }
  return value;
}

size_t PackReader::Array() {
  const unsigned char type = Byte();
  size_t size = 0;
  if (IsWithin(type, kFixArray, kMostFixArray)) {
    size = type - kFixArray;
  } else if (IsWithin(type, kArray16, 2)) {
    size = Big(type == kArray16 ? 2 : 4);
  } else {
    Fail("list");
  }
  if (size > rest_.size()) {
    Fail("a list within the message");
  }
  return size;
}

PackReader::Whole PackReader::Number() {
  const unsigned char type = Byte();
  if (type < kFixMap) {
    return {false, type};
  }
  if (type >= kNegativeFix) {
    return {true, static_cast<uint64_t>(static_cast<signed char>(type))};
  }
  if (IsWithin(type, kUnsigned8, 4)) {
    return {false, Big(size_t{1} << (type - kUnsigned8))};
  }
  if (!IsWithin(type, kSigned8, 4)) {
    Fail("whole number");
  }
  const size_t width = size_t{1} << (type - kSigned8);
  const size_t shift = kByteBits * (sizeof(uint64_t) - width);
  const auto value = static_cast<int64_t>(Big(width) << shift) >> shift;
  return {value < 0, static_cast<uint64_t>(value)};
}

double PackReader::Real() {
  if (rest_.empty()) {
    Fail("number");
  }
  const auto type = static_cast<unsigned char>(rest_.front());
  if (type == kFloat32) {
    Byte();
    return std::bit_cast<float>(static_cast<uint32_t>(Big(sizeof(float))));
  }
  if (type == kFloat64) {
    Byte();
    return std::bit_cast<double>(Big(sizeof(double)));
  }
  const Whole whole = Number();
  return whole.negative_
             ? static_cast<double>(static_cast<int64_t>(whole.bits_))
             : static_cast<double>(whole.bits_);
}

bool PackReader::Bool() {
  const unsigned char type = Byte();
  if (type != kTrue && type != kFalse) {
    Fail("boolean");
  }
  return type == kTrue;
}

std::string_view PackReader::Text() {
  const unsigned char type = Byte();
  if (IsWithin(type, kFixText, kMostFixText)) {
    return Raw(type - kFixText);
  }
  if (!IsWithin(type, kText8, 3)) {
    Fail("string");
  }
  return Raw(Big(size_t{1} << (type - kText8)));
}

void PackReader::Skip(int depth) {
  if (depth == 0) {
    Fail("less nesting");
  }
  const auto type =
      rest_.empty() ? kNil : static_cast<unsigned char>(rest_.front());
  if (IsWithin(type, kFixArray, kMostFixArray) || IsWithin(type, kArray16, 2)) {
    for (size_t left = Array(); left > 0; --left) {
      Skip(depth - 1);
    }
  } else if (IsWithin(type, kFixText, kMostFixText) ||
             IsWithin(type, kText8, 3)) {
    Text();
  } else if (type == kFloat32 || type == kFloat64) {
    Real();
  } else if (type == kTrue || type == kFalse) {
    Bool();
  } else if (type == kNil) {
    Byte();
  } else if (IsWithin(type, kFixMap, kMostFixArray) ||
             IsWithin(type, kMap16, 2) || IsWithin(type, kBin8, 3) ||
             IsWithin(type, kExt8, 3) || IsWithin(type, kFixExt1, 5)) {
    Fail("no map and no binary value");
  } else {
    Number();
  }
}

}  // namespace gv

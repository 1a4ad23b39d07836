/** @file pack_codec.h MessagePack form of any plain struct, written and read
 * without a document in between. */
#pragma once

#include <boost/pfr.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "state/clock_type.h"
#include "state/field_codec.h"
#include "state/typed_id.h"

namespace gv {

/** Appends MessagePack values to a buffer. Thread safety: owned by one thread.
 */
class PackWriter {
 public:
  /** Begins an array of @p size values, which follow. */
  void Array(size_t size);
  void Signed(int64_t value);
  void Unsigned(uint64_t value);
  void Real(double value);
  void Bool(bool value);
  /** Writes any bytes as text. */
  void Text(std::string_view value);
  /** @return Everything written so far; the writer is empty afterwards. */
  std::string Take() { return std::exchange(bytes_, {}); }

 private:
  void Head(unsigned char type, uint64_t value, size_t width);

  std::string bytes_;  ///< Written so far.
};

/** Reads MessagePack values in order. Every function throws FieldError if the
 * next value has another type or the bytes end. Thread safety: owned by one
 * thread; the bytes must outlive it. */
class PackReader {
 public:
  /** A whole number of either sign. */
  struct Whole {
    bool negative_ = false;  ///< The value is bits_ as int64_t.
    uint64_t bits_ = 0;      ///< The value, in two's complement.
  };

  explicit PackReader(std::string_view bytes) : rest_(bytes) {}

  /** @return How many values of an array follow; at most the bytes left. */
  size_t Array();
  Whole Number();
  double Real();
  bool Bool();
  std::string_view Text();
  /** Leaves out one value with all that it holds. */
  void Skip() { Skip(kMostDepth); }
  bool IsDone() const { return rest_.empty(); }

 private:
  /** Nested deeper than any message; bounds the recursion of Skip. */
  static constexpr int kMostDepth = 32;

  void Skip(int depth);
  unsigned char Byte();
  uint64_t Big(size_t width);
  std::string_view Raw(size_t size);

  std::string_view rest_;  ///< Not yet read.
};

template <class T>
struct PackCodec;

/** Writes @p value. Thread safety: as PackWriter. */
template <class T>
void PackField(const T& value, PackWriter& out) {
  PackCodec<T>::Write(value, out);
}

/** Reads @p value. Throws FieldError. Thread safety: as PackReader. */
template <class T>
void UnpackField(PackReader& in, T& value) {
  PackCodec<T>::Read(in, value);
}

/** Reads a whole number that T can hold. */
template <class T>
T UnpackWhole(PackReader& in) {
  const PackReader::Whole whole = in.Number();
  const auto negative = static_cast<int64_t>(whole.bits_);
  const bool fits = whole.negative_ ? std::in_range<T>(negative)
                                    : std::in_range<T>(whole.bits_);
  if (!fits) {
    throw FieldError("expected smaller number");
  }
  return static_cast<T>(whole.bits_);
}

/** Numbers, enums, and structs as an array of their fields in order. */
template <class T>
struct PackCodec {
  static void Write(const T& value, PackWriter& out) {
    if constexpr (std::is_same_v<T, bool>) {
      out.Bool(value);
    } else if constexpr (std::is_enum_v<T>) {
      out.Signed(static_cast<int64_t>(value));
    } else if constexpr (std::is_floating_point_v<T>) {
      out.Real(value);
    } else if constexpr (std::is_unsigned_v<T>) {
      out.Unsigned(value);
    } else if constexpr (std::is_integral_v<T>) {
      out.Signed(value);
    } else {
      out.Array(boost::pfr::tuple_size_v<T>);
      boost::pfr::for_each_field(
          value, [&out](const auto& field) { PackField(field, out); });
    }
  }
  static void Read(PackReader& in, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      value = in.Bool();
    } else if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(UnpackWhole<int64_t>(in));
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<T>(in.Real());
    } else if constexpr (std::is_integral_v<T>) {
      value = UnpackWhole<T>(in);
    } else {
      size_t left = in.Array();
      boost::pfr::for_each_field(value, [&](auto& field) {
        if (left > 0) {
          --left;
          UnpackField(in, field);
        }
      });
      for (; left > 0; --left) {
        in.Skip();
      }
    }
  }
};

template <>
struct PackCodec<std::string> {
  static void Write(const std::string& value, PackWriter& out) {
    out.Text(value);
  }
  static void Read(PackReader& in, std::string& value) { value = in.Text(); }
};

template <class Tag>
struct PackCodec<TypedId<Tag>> {
  static void Write(const TypedId<Tag>& id, PackWriter& out) {
    out.Unsigned(id.Value());
  }
  static void Read(PackReader& in, TypedId<Tag>& id) {
    id = TypedId<Tag>(UnpackWhole<uint64_t>(in));
  }
};

template <class Tag>
struct PackCodec<TypedName<Tag>> {
  static void Write(const TypedName<Tag>& name, PackWriter& out) {
    out.Text(name.Value());
  }
  static void Read(PackReader& in, TypedName<Tag>& name) {
    name = TypedName<Tag>(std::string(in.Text()));
  }
};

template <>
struct PackCodec<Duration> {
  static void Write(const Duration& duration, PackWriter& out) {
    out.Signed(duration.Ms());
  }
  static void Read(PackReader& in, Duration& duration) {
    duration = Duration(UnpackWhole<int64_t>(in));
  }
};

template <class T>
struct PackCodec<std::vector<T>> {
  static void Write(const std::vector<T>& values, PackWriter& out) {
    out.Array(values.size());
    for (const T& value : values) {
      PackField(value, out);
    }
  }
  static void Read(PackReader& in, std::vector<T>& values) {
    const size_t size = in.Array();
    values.clear();
    for (size_t i = 0; i < size; ++i) {
      UnpackField(in, values.emplace_back());
    }
  }
};

}  // namespace gv

/** @file typed_id.h Distinct id types, so that ids of different concepts cannot
 * be mixed up. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace gv {

/**
 * A number that names one object of one concept. Zero means "none".
 * @tparam Tag An empty type that makes this id distinct from all others.
 * @note Thread safety: a value type; distinct objects need no lock.
 */
template <class Tag>
class TypedId {
 public:
  constexpr TypedId() = default;
  constexpr explicit TypedId(uint64_t value) : value_(value) {}
  constexpr uint64_t Value() const { return value_; }
  constexpr bool IsNone() const { return value_ == 0; }
  /** @return The id that follows this one. */
  constexpr TypedId Next() const { return TypedId(value_ + 1); }
  /** @return The id before this one. @pre This id is not none. */
  constexpr TypedId Previous() const { return TypedId(value_ - 1); }
  friend constexpr auto operator<=>(const TypedId&, const TypedId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const TypedId& id) {
    return out << id.value_;
  }

 private:
  uint64_t value_ = 0;  ///< The number; zero means "none".
};

/**
 * A name given by an operator that identifies one object of one concept. Empty
 * means "none".
 * @tparam Tag An empty type that makes this name distinct from all others.
 * @note Thread safety: a value type; distinct objects need no lock.
 */
template <class Tag>
class TypedName {
 public:
  TypedName() = default;
  explicit TypedName(std::string value) : value_(std::move(value)) {}
  explicit TypedName(const char* value) : value_(value) {}
  const std::string& Value() const { return value_; }
  bool IsNone() const { return value_.empty(); }
  friend auto operator<=>(const TypedName&, const TypedName&) = default;
  friend std::ostream& operator<<(std::ostream& out, const TypedName& name) {
    return out << name.value_;
  }

 private:
  std::string value_;  ///< The name; empty means "none".
};

}  // namespace gv

template <class Tag>
struct std::hash<gv::TypedId<Tag>> {
  size_t operator()(const gv::TypedId<Tag>& id) const noexcept {
    return std::hash<uint64_t>()(id.Value());
  }
};

template <class Tag>
struct std::hash<gv::TypedName<Tag>> {
  size_t operator()(const gv::TypedName<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.Value());
  }
};

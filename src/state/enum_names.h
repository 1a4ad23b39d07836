/** @file enum_names.h Looks up names in the tables that belong to enum classes.
 */
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace gv {

/** One row of a table of names. */
template <class Enum>
struct EnumName {
  Enum value_;             ///< The value.
  std::string_view name_;  ///< Its name in settings, messages and logs.
};

/** @return The name of @p value in @p table, or "unknown". Thread safety: pure.
 */
template <class Enum, size_t N>
constexpr std::string_view NameOf(const std::array<EnumName<Enum>, N>& table,
                                  Enum value) {
  for (const auto& row : table) {
    if (row.value_ == value) {
      return row.name_;
    }
  }
  return "unknown";
}

/** @return The value called @p name in @p table, or nothing. Thread safety:
 * pure. */
template <class Enum, size_t N>
constexpr std::optional<Enum> ValueOf(
    const std::array<EnumName<Enum>, N>& table, std::string_view name) {
  for (const auto& row : table) {
    if (row.name_ == name) {
      return row.value_;
    }
  }
  return std::nullopt;
}

}  // namespace gv

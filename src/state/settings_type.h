/** @file settings_type.h Types of the rows of the settings table. */
#pragma once

#include <cstdint>
#include <string_view>

namespace gv {

/** How the text of a setting is read. */
enum class SettingType : uint8_t {
  kInt,       ///< A whole number within bounds.
  kFlag,      ///< "true" or "false".
  kPriority,  ///< The name of a priority.
  kModels,    ///< Comma-separated model names; empty means all.
  kKeyHash,   ///< SHA-256 in lower-case hex; never the key itself.
};

/** One row of the settings table: every path that matches the pattern. */
struct SettingRow {
  std::string_view
      pattern_;            ///< Path; "*" stands for one name, e.g. of a team.
  SettingType type_;       ///< How its text is read.
  std::string_view unit_;  ///< Unit, or empty.
  int64_t min_;            ///< Smallest number.
  int64_t max_;            ///< Largest number.
  std::string_view default_;  ///< Value where the tree has none.
  std::string_view doc_;      ///< For people.
};

}  // namespace gv

/** @file json_text.cc Writes any bytes into JSON text. */
#include "state/json_text.h"

#include <string_view>
#include <utility>

namespace gv {
namespace {

using nlohmann::json;

bool IsUtf8(const json& text) {
  try {
    static_cast<void>(text.dump());
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

json HexOf(const std::string& bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  digits.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto number = static_cast<unsigned char>(byte);
    digits.push_back(kDigits[number >> 4]);
    digits.push_back(kDigits[number & 15]);
  }
  json out;
  out["hex"] = std::move(digits);
  return out;
}

/** Replaces strings that JSON text cannot carry by their digits. */
void MakePrintable(json& value) {
  if (value.is_array()) {
    for (json& item : value) {
      MakePrintable(item);
    }
  } else if (value.is_string() && !IsUtf8(value)) {
    value = HexOf(value.get_ref<const std::string&>());
  }
}

}  // namespace

std::string PrintJson(json value) {
  MakePrintable(value);
  return value.dump();
}

}  // namespace gv

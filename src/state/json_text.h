/** @file json_text.h JSON text of values whose strings may hold any bytes. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace gv {

/**
 * @return The JSON text. Strings that are no UTF-8 become {"hex": DIGITS},
 * which FieldCodec<std::string> reads back. Thread safety: pure.
 */
std::string PrintJson(nlohmann::json value);

}  // namespace gv

/** @file field_codec.h Turns any plain struct into a JSON array of its fields,
 * and back. */
#pragma once

#include <boost/pfr.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "state/clock_type.h"
#include "state/typed_id.h"

namespace gv {

/** Thrown inside the codec only; the public functions turn it into a verdict.
 */
struct FieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <class T>
struct FieldCodec;

/** @return @p value as JSON. Thread safety: pure. */
template <class T>
nlohmann::json ToJsonField(const T& value) {
  return FieldCodec<T>::To(value);
}

/** Reads @p value from JSON. Throws FieldError. Thread safety: pure. */
template <class T>
void FromJsonField(const nlohmann::json& json, T& value) {
  FieldCodec<T>::From(json, value);
}

/** Structs: an array of their fields in order. */
template <class T>
struct FieldCodec {
  static nlohmann::json To(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<int64_t>(value);
    } else if constexpr (std::is_arithmetic_v<T>) {
      return value;
    } else {
      nlohmann::json out = nlohmann::json::array();
      boost::pfr::for_each_field(value, [&out](const auto& field) {
        out.push_back(ToJsonField(field));
      });
      return out;
    }
  }
  static void From(const nlohmann::json& json, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      Expect(json.is_boolean(), "boolean");
      value = json.template get<bool>();
    } else if constexpr (std::is_enum_v<T>) {
      Expect(json.is_number_integer(), "enum number");
      value = static_cast<T>(json.template get<int64_t>());
    } else if constexpr (std::is_integral_v<T>) {
      Expect(json.is_number_integer(), "whole number");
      // Conversion of a number that the type can't hold has no defined result.
      const bool fits = json.is_number_unsigned()
                            ? std::in_range<T>(json.template get<uint64_t>())
                            : std::in_range<T>(json.template get<int64_t>());
      Expect(fits, "smaller number");
      value = json.template get<T>();
    } else if constexpr (std::is_arithmetic_v<T>) {
      Expect(json.is_number(), "number");
      value = json.template get<T>();
    } else {
      Expect(json.is_array(), "array of fields");
      size_t index = 0;
      boost::pfr::for_each_field(value, [&](auto& field) {
        if (index < json.size()) {
          FromJsonField(json[index], field);
        }
        ++index;
      });
    }
  }
  static void Expect(bool good, const char* what) {
    if (!good) {
      throw FieldError(std::string("expected ") + what);
    }
  }
};

/** Strings. In JSON text, bytes that are no UTF-8 stand as {"hex": DIGITS}. */
template <>
struct FieldCodec<std::string> {
  static nlohmann::json To(const std::string& value) { return value; }
  static void From(const nlohmann::json& json, std::string& value) {
    if (json.is_object() && json.contains("hex")) {
      value = FromHex(json.at("hex").get<std::string>());
      return;
    }
    FieldCodec<int>::Expect(json.is_string(), "string");
    value = json.get<std::string>();
  }
  static std::string FromHex(const std::string& digits) {
    FieldCodec<int>::Expect(digits.size() % 2 == 0, "pairs of digits");
    std::string bytes;
    for (size_t i = 0; i < digits.size(); i += 2) {
      bytes.push_back(
          static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
    }
    return bytes;
  }
};

template <class Tag>
struct FieldCodec<TypedId<Tag>> {
  static nlohmann::json To(const TypedId<Tag>& id) { return id.Value(); }
  static void From(const nlohmann::json& json, TypedId<Tag>& id) {
    FieldCodec<int>::Expect(json.is_number_integer(), "id");
    id = TypedId<Tag>(json.get<uint64_t>());
  }
};

template <class Tag>
struct FieldCodec<TypedName<Tag>> {
  static nlohmann::json To(const TypedName<Tag>& name) { return name.Value(); }
  static void From(const nlohmann::json& json, TypedName<Tag>& name) {
    FieldCodec<int>::Expect(json.is_string(), "name");
    name = TypedName<Tag>(json.get<std::string>());
  }
};

template <>
struct FieldCodec<Duration> {
  static nlohmann::json To(const Duration& duration) { return duration.Ms(); }
  static void From(const nlohmann::json& json, Duration& duration) {
    FieldCodec<int>::Expect(json.is_number_integer(), "milliseconds");
    duration = Duration(json.get<int64_t>());
  }
};

template <class T>
struct FieldCodec<std::vector<T>> {
  static nlohmann::json To(const std::vector<T>& values) {
    nlohmann::json out = nlohmann::json::array();
    for (const T& value : values) {
      out.push_back(ToJsonField(value));
    }
    return out;
  }
  static void From(const nlohmann::json& json, std::vector<T>& values) {
    FieldCodec<int>::Expect(json.is_array(), "list");
    values.clear();
    values.reserve(json.size());
    for (const auto& item : json) {
      FromJsonField(item, values.emplace_back());
    }
  }
};

}  // namespace gv

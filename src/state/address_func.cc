/** @file address_func.cc Splits addresses. */
#include "state/address_func.h"

#include <charconv>

namespace gv {

bool SplitAddress(std::string_view address, std::string& ip, uint16_t& port) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  ip = std::string(address.substr(0, colon));
  const std::string_view digits = address.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool whole =
      error == std::errc() && end == digits.data() + digits.size();
  return whole && ip.find_first_not_of("0123456789abcdefABCDEF:.[]") ==
                      std::string::npos;
}

}  // namespace gv

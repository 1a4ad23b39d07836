/** @file address_func.h Addresses as text. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gv {

/** Splits "IP:port". @return False if it is none. Thread safety: pure. */
bool SplitAddress(std::string_view address, std::string& ip, uint16_t& port);

}  // namespace gv

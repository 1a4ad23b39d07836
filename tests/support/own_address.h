/** @file own_address.h Addresses on loopback for the servers of one process. */
#pragma once

#include <unistd.h>

#include <cstdint>
#include <string>

namespace gv {

/**
 * @param host 0 or 1.
 * @return An IPv4 address that no other running process gets from here, so that
 * all its ports are free for the callers in this process. Thread safety: pure.
 */
inline std::string OwnAddress(uint32_t host = 0) {
  // Ids of processes have at most 22 bits.
  constexpr uint32_t kBits = 22;
  constexpr uint32_t kNetwork = 0x7f800000;
  const uint32_t address =
      kNetwork | host << kBits | static_cast<uint32_t>(getpid());
  std::string text = std::to_string(address >> 24);
  for (const unsigned shift : {16U, 8U, 0U}) {
    text += "." + std::to_string(address >> shift & 0xffU);
  }
  return text;
}

}  // namespace gv

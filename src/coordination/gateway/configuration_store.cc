/** @file configuration_store.cc Storage and encoding of the newest
 * configuration. */
#include "coordination/gateway/configuration_store.h"

#include <charconv>
#include <utility>

namespace gv {

bool ConfigurationStore::Put(uint64_t version, std::string text) {
  if (version <= version_) {
    return false;
  }
  version_ = version;
  text_ = std::move(text);
  return true;
}

std::string ConfigurationStore::Encode(uint64_t version,
                                       std::string_view text) {
  std::string bytes = std::to_string(version);
  bytes += '\n';
  bytes += text;
  return bytes;
}

Result<void> ConfigurationStore::PutEncoded(std::string_view bytes) {
  if (bytes.empty()) {
    return boost::outcome_v2::success();
  }
  uint64_t version = 0;
  const auto [end, error] =
      std::from_chars(bytes.data(), bytes.data() + bytes.size(), version);
  if (error != std::errc() || end == bytes.data() + bytes.size() ||
      *end != '\n') {
    return NotRun(
        Reason::kStorage,
        "configuration entry does not begin with a version and a newline");
  }
  const auto header_size = static_cast<size_t>(end - bytes.data()) + 1;
  Put(version, std::string(bytes.substr(header_size)));
  return boost::outcome_v2::success();
}

}  // namespace gv

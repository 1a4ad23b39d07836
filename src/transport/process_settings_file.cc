/** @file process_settings_file.cc Reads the settings file of a process from
 * disk. */
#include "transport/process_settings_file.h"

#include <boost/outcome/try.hpp>

#include "transport/secret.h"

namespace gv {

Result<ProcessSettings> LoadProcessSettings(const std::string& file) {
  BOOST_OUTCOME_TRY(const auto text, ReadFile(file));
  return ParseProcessSettings(file, text);
}

}  // namespace gv

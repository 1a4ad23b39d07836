/** @file trace_file.cc Writes and reads trace files. */
#include "transport/trace_file.h"

#include <sys/stat.h>

#include <iterator>

namespace gv {

TraceWriter::TraceWriter(const std::string& path, const TraceHeader& header)
    : file_(path, std::ios::binary | std::ios::trunc) {
  chmod(path.c_str(), S_IRUSR | S_IWUSR);
  file_ << TraceHeaderLine(header) << '\n' << std::flush;
}

void TraceWriter::Input(TimePoint now, const Envelope& input) {
  file_ << TraceInputLine(now, input) << '\n';
}

void TraceWriter::Actions(const std::vector<Envelope>& actions) {
  if (!actions.empty()) {
    file_ << TraceActionsLine(actions) << '\n';
  }
  file_.flush();
}

Result<Trace> ReadTraceFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return NotRun(Reason::kBadRequest, path + ": cannot be read");
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ReadTrace(path, text);
}

}  // namespace gv

/** @file event_sink.cc Writes events to time line, log and metrics. */
#include "transport/event_sink.h"

#include <easylogging++.h>
#include <prometheus/text_serializer.h>

#include <sstream>

#include "state/table/events.h"

INITIALIZE_EASYLOGGINGPP

namespace gv {
namespace {

constexpr size_t kRingEvents = 4096;

const EventRow& RowOf(EventId id) {
  for (const EventRow& row : kEvents) {
    if (row.id_ == id) {
      return row;
    }
  }
  return kEvents.front();
}

std::string LogLine(const EventRow& row, const Event& event) {
  std::ostringstream out;
  out << static_cast<unsigned>(row.id_) << " " << row.name_;
  if (!event.request_.IsNone()) {
    out << " request=" << event.request_;
  }
  if (!event.team_.IsNone()) {
    out << " team=" << event.team_;
  }
  if (!event.target_.IsNone()) {
    out << " target=" << event.target_;
  }
  if (!event.revision_.IsNone()) {
    out << " revision=" << event.revision_;
  }
  if (!event.detail_.empty()) {
    out << " " << event.detail_;
  }
  return out.str();
}

void WriteLog(const EventRow& row, const Event& event) {
  switch (row.level_) {
    case EventLevel::kDebug:
      LOG(DEBUG) << LogLine(row, event);
      break;
    case EventLevel::kInfo:
      LOG(INFO) << LogLine(row, event);
      break;
    case EventLevel::kWarning:
      LOG(WARNING) << LogLine(row, event);
      break;
    case EventLevel::kError:
      LOG(ERROR) << LogLine(row, event);
      break;
  }
}

}  // namespace

void ConfigureLog(const std::string& file, const std::string& level) {
  el::Loggers::addFlag(el::LoggingFlag::HierarchicalLogging);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            file.empty() ? "false" : "true");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput,
                            file.empty() ? "true" : "false");
  if (!file.empty()) {
    configuration.setGlobally(el::ConfigurationType::Filename, file);
  }
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Loggers::setLoggingLevel(level == "debug"     ? el::Level::Debug
                               : level == "warning" ? el::Level::Warning
                               : level == "error"   ? el::Level::Error
                                                    : el::Level::Info);
}

EventSink::EventSink(const std::string& timeline_file)
    : timeline_(timeline_file, kRingEvents),
      events_(prometheus::BuildCounter()
                  .Name("gooseberryvale_events_total")
                  .Help("Events of the time line by name")
                  .Register(registry_)) {}

void EventSink::Write(const Event& event) {
  const EventRow& row = RowOf(event.id_);
  timeline_.Write(event);
  events_.Add({{"event", std::string(row.name_)}}).Increment();
  WriteLog(row, event);
}

std::string EventSink::MetricsText() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace gv

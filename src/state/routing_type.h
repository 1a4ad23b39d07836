/** @file routing_type.h A configuration of routes, services and customers, as
 * operators send it in one piece. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/clock_type.h"
#include "state/enum_names.h"

namespace gv {

/** What may be repeated when a request of a route fails. */
enum class RouteKind : uint8_t {
  kSafe,    ///< May run more than once.
  kUnsafe,  ///< May run once at most.
  kStream,  ///< A stream of events; as kUnsafe unless the route is resumable.
};

inline constexpr std::array<EnumName<RouteKind>, 3> kRouteKindNames{{
    {RouteKind::kSafe, "safe"},
    {RouteKind::kUnsafe, "unsafe"},
    {RouteKind::kStream, "stream"},
}};

/** One service of a route and its part of the traffic. */
struct ServiceWeight {
  std::string service_;  ///< Name of the service.
  int64_t weight_ = 0;   ///< Relative to the other weights of the route.
  friend bool operator==(const ServiceWeight&, const ServiceWeight&) = default;
};

/** Where requests of one host and path prefix go, and how they are treated. */
struct Route {
  std::string name_;                   ///< For logs.
  std::string host_;                   ///< Value of Host, in lower case.
  std::string prefix_;                 ///< Begins and ends with a slash.
  RouteKind kind_ = RouteKind::kSafe;  ///< What may be repeated.
  Duration timeout_;                   ///< Longest time for one request.
  Duration objective_;        ///< For log lines: wanted time to the first
                              ///< event or answer.
  Duration pause_objective_;  ///< For log lines: wanted longest pause.
  int64_t priority_ = 0;      ///< Zero is the most urgent.
  std::vector<ServiceWeight> services_;  ///< Never empty.
  int64_t max_targets_ = 1;  ///< Targets that one request may be sent to.
  bool anonymous_ = false;   ///< Needs no API key.
  bool resumable_ = false;   ///< A stream may go on at another target.
  friend bool operator==(const Route&, const Route&) = default;
};

/** Routes that were decoded before, by a hash of their text. A change of one
 * route of a thousand costs a small VM as much as that route. */
struct KnownRoutes {
  using Key = std::pair<uint64_t, uint64_t>;  ///< Hash of 128 bits.
  std::map<Key, Route> routes_;               ///< Of one configuration.
};

/** How fast the engines of a service are; all times are for one engine. */
struct EngineProfile {
  int64_t slots_ = 1;           ///< Requests in progress at once.
  int64_t memory_tokens_ = 0;   ///< KV cache.
  double step_ms_ = 0;          ///< One token step of all streams.
  double stream_step_ms_ = 0;   ///< More for each stream in a step.
  double context_step_ms_ = 0;  ///< More for each 1,000 tokens of context.
  double prefill_tokens_per_ms_ = 1;  ///< Without attention.
  double pair_ms_per_million_ = 0;    ///< Attention of prefill.
  int64_t chunk_tokens_ = 2048;       ///< Prefill in one step, at most.
  int64_t steps_per_event_ = 1;       ///< Tokens in one event of a stream.
  int64_t usual_prompt_tokens_ = 0;   ///< Mean of the traffic.
  int64_t usual_answer_tokens_ = 0;   ///< Mean of the traffic.
};

/** How long answers of routes with one priority may pause. */
struct RankPause {
  int64_t rank_ = 0;  ///< Priority of the routes; zero is the most urgent.
  Duration pause_;    ///< Least of the pause objectives of its routes; zero if
                      ///< none has one.
  friend bool operator==(const RankPause&, const RankPause&) = default;
};

/** A service: targets of one kind. */
struct Service {
  std::string name_;                     ///< Unique.
  int64_t max_connections_ = 0;          ///< To one target, of all callers.
  std::optional<EngineProfile> engine_;  ///< Set for model engines.
  /** Requests per second that a cold target bears; zero if none is ever cold.
   */
  double cold_per_second_ = 0;
  /** Time for which a target is cold after its start, if it does not state it.
   */
  Duration cold_start_{};
  /** Priorities of its stream routes, in rising order; set by
   * RoutingTable::Build. */
  std::vector<RankPause> ranks_{};
  /** @return True if stream routes of different priorities share it. */
  bool HasRanks() const { return ranks_.size() > 1; }
};

/** A customer and its API keys. */
struct Customer {
  std::string name_;                 ///< Unique.
  std::vector<std::string> keys_;    ///< Each belongs to one customer only.
  std::optional<int64_t> priority_;  ///< Goes before the route's priority.
};

/** What callers may send. */
struct GatewayBounds {
  int64_t header_bytes_ = 16384;  ///< Largest header.
  int64_t body_bytes_ = 4 << 20;  ///< Largest body.
  Duration header_time_{3000};    ///< Longest time for a header.
  Duration idle_time_{15000};     ///< Longest idle time of a connection.
};

/** A whole configuration. */
struct RoutingConfiguration {
  uint64_t version_ = 0;           ///< The highest version is in force.
  std::vector<Route> routes_;      ///< In the order of the text.
  std::vector<Service> services_;  ///< In the order of the text.
  /** Without a value the configuration has no list of customers, and no
   * request needs a key. An empty list leaves no valid key. */
  std::optional<std::vector<Customer>> customers_;
  GatewayBounds bounds_;  ///< For all callers.
};

}  // namespace gv

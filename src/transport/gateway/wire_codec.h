/** @file wire_codec.h What a gateway has to know of the protocol of its
 * surroundings; an adapter fills it in. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/routing_type.h"
#include "state/target_registration_type.h"
#include "state/verdict_type.h"
#include "transport/http_fields.h"

namespace gv {

/** What the header of a caller's request says. */
struct CallerFacts {
  std::string attempt_;                 ///< Id of this try of the caller.
  std::optional<Duration> deadline_;    ///< How long the caller waits.
  std::string key_;                     ///< API key; empty if none was sent.
  std::optional<uint64_t> last_event_;  ///< Resume after this event.
  int64_t prompt_tokens_ = 0;           ///< Zero if it is no prompt.
  int64_t answer_tokens_ = 0;           ///< Most that may be written.
  /** Parts of the prompt that other prompts may have as well: all but the
   * last. */
  std::vector<PromptPartId> shared_parts_;
  std::string
      part_list_;  ///< All parts of the prompt, as the caller sent them.
};

/** What a gateway tells a target beside the caller's request. */
struct ForwardFacts {
  Duration time_left_;                  ///< Until nobody waits any more.
  TargetId target_;                     ///< Any other target must refuse.
  std::string customer_;                ///< Empty if the route needs no key.
  std::vector<std::string> helpers_;    ///< "IP:port" or "IP:port/ticket".
  std::optional<uint64_t> last_event_;  ///< Resume after this event.
  std::optional<int> urgency_;          ///< Zero is first.
};

/** What an answer says of a limit of requests at its target. */
enum class LimitNews : uint8_t {
  kNothing,     ///< It does not speak for the target that was asked.
  kNone,        ///< The target names no limit.
  kNamed,       ///< The target names a limit.
  kUnreadable,  ///< What it names is no number of requests.
};

/** What the header of a target's answer says. */
struct AnswerFacts {
  bool has_signature_ = false;          ///< It comes from a target that ran it.
  bool not_run_ = false;                ///< The target has not run the request.
  bool is_encoded_ = false;             ///< The body is not the target's own.
  bool is_event_stream_ = false;        ///< The body is a series of events.
  std::string attempt_;                 ///< Which request it answers.
  std::optional<Duration> keep_alive_;  ///< How long it keeps idle connections.
  bool is_leaving_ = false;             ///< The target takes no new work.
  std::optional<Duration> pause_;       ///< It wants no request for so long.
  LimitNews limit_news_ = LimitNews::kNothing;  ///< Whether it names a limit.
  double limit_per_second_ = 0;  ///< Requests that the target takes from all
                                 ///< gateways together, for kNamed.
};

/** Calls that targets and operators make. */
enum class ControlCall : uint8_t {
  kUnknown,
  kRegister,
  kDepart,
  kPutConfiguration,
  kGetConfiguration,
  kEvacuate,         ///< Nothing more is sent to targets of a data centre.
  kEndEvacuation,    ///< Takes that back.
  kListEvacuations,  ///< Asks for the evacuated data centres.
};

/** One such call. */
struct ControlRequest {
  ControlCall call_ = ControlCall::kUnknown;  ///< Which.
  std::string id_;  ///< Target of a registration, or data centre.
};

/** An order to a target. */
struct TargetOrder {
  std::string path_;  ///< Where it is posted.
  std::string body_;  ///< JSON text.
};

/** A request of an operator to the control address, without a body. */
struct EvacuationCall {
  std::string method_;  ///< For example "POST".
  std::string path_;    ///< With the name of the data centre.
};

/** Translates between the product's types and the wire. All functions are pure
 * and may be called on any thread. */
struct WireCodec {
  std::string_view readiness_path_;  ///< Asked by the balancer.
  /** Reads the header of a request. */
  CallerFacts (*read_caller_)(const HttpFields& fields) = nullptr;
  /** Removes what a target must not see and sets what it must. */
  void (*write_forward_)(const ForwardFacts& facts,
                         HttpFields& fields) = nullptr;
  /** Reads the header of an answer. */
  AnswerFacts (*read_answer_)(unsigned status,
                              const HttpFields& fields) = nullptr;
  /** Tells which call a request of a target or operator is. */
  ControlRequest (*read_control_)(std::string_view method,
                                  std::string_view path) = nullptr;
  /** Decodes a configuration, or gives Reason::kBadRequest. What stands in
   * the known routes is not decoded again. */
  Result<RoutingConfiguration> (*decode_configuration_)(
      std::string_view text, KnownRoutes& known) = nullptr;
  /** Decodes a registration, or gives Reason::kBadRequest. */
  Result<TargetRegistration> (*decode_registration_)(
      const std::string& id, std::string_view text) = nullptr;
  /** Makes an order that reserves memory under @p ticket. */
  TargetOrder (*encode_reserve_)(const std::string& ticket, int64_t tokens,
                                 Duration hold) = nullptr;
  /** Makes an order that ends a reservation. */
  TargetOrder (*encode_release_)(const std::string& ticket) = nullptr;
  /** Makes a call about evacuations, which read_control_ reads back.
   * @param call kEvacuate, kEndEvacuation or kListEvacuations.
   * @param data_centre Its name; ignored for a list. */
  EvacuationCall (*encode_evacuation_)(
      ControlCall call, const std::string& data_centre) = nullptr;
};

/** Sets the codec that gateways use. Call from main, before RunCommandLine. */
void SetWireCodec(const WireCodec* codec);
/** @return The codec, or nullptr if the binary has none. */
const WireCodec* GetWireCodec();

}  // namespace gv

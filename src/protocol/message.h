/** @file message.h The envelope and the variant of all messages; the inputs and
 * outputs of cores. */
#pragma once

#include <string_view>
#include <type_traits>
#include <variant>

#include "protocol/claim_messages.h"
#include "protocol/control_messages.h"
#include "protocol/registry_messages.h"
#include "protocol/request_messages.h"
#include "protocol/settings_messages.h"
#include "protocol/target_messages.h"

namespace gv {

/** Sent at a regular interval to every core by its process; carries nothing. */
struct Tick {};

/** Sent to every core when the process got a planned stop. */
struct StopRequest {};

/** Sent by a core when nothing is left to wait for; the process may exit. */
struct StopReady {};

/** Sent by the transport when the connection to a peer broke. */
struct PeerDown {
  NodeId peer_;  ///< The peer.
};

/** To the transport: how a peer can be reached. */
struct PeerAddress {
  NodeId peer_;          ///< The peer.
  std::string address_;  ///< "IP:port".
};

/** All alternatives of a message. The order is part of the protocol: new
 * messages go to the end. */
using MessageVariant = std::variant<
    Tick, StopRequest, StopReady, PeerDown, PeerAddress, VoteRequest, VoteReply,
    AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, DiskSaveVote,
    DiskAppend, DiskSaveSnapshot, DiskSynced, DiskFailed, SettingsChange,
    SessionRenew, SessionGrant, SessionRedirect, SettingsDelta,
    SettingsSnapshot, OperatorCall, OperatorReply, ShareRequest, ShareGrant,
    TargetAnnounce, TargetAdmit, TargetUpdate, AgentHello, CreditGrant,
    LoadReport, CacheReport, CallerRequest, CallerGone, CallerChunk, CallerEnd,
    Dispatch, StreamChunk, StreamEnd, Cancel, PauseStream, StreamKeepalive,
    TestifyRequest, TestifyReply, TargetCall, TargetControl, TargetChunk,
    TargetEnd, TargetProbe, TargetStatus, TargetRelease, ClaimBegin, ClaimReply,
    ClaimFinish, ClaimFinished, GroupRequest, GroupReply, GroupRenew, GroupHold,
    GroupHeld, TargetReserve, TargetReserved, RegistryPoll, RegistryStatus,
    ConfigurationPush, TargetGossip, ChangeForward, ChangeOutcome, ReadForward,
    ReadOutcome, GatewayLoad, PromptAsk, PromptPlaced, PromptRefused,
    PromptStep, PromptQueued, TargetsHeard, TargetsSilent, TargetQuery,
    RetryAsk, RetryReply, EngineCrash, PartsAnswered, PartTable, LimitReport,
    LimitAsk, LimitReply, LeavingNotice, LeavingNoted, EvacuationPush,
    EvacuationForward>;

/** True for the types that are alternatives of Variant. */
template <class T, class Variant>
inline constexpr bool kIsAlternative = false;
template <class T, class... Types>
inline constexpr bool kIsAlternative<T, std::variant<Types...>> =
    (std::is_same_v<T, Types> || ...);

template <class T>
concept MessageBody = kIsAlternative<T, MessageVariant>;

/**
 * Every message. Construction, copying and destruction are compiled once, in
 * message.cc, as they are large for so many alternatives. Use std::get_if,
 * std::holds_alternative and std::visit as with any variant. Thread safety: a
 * value type.
 */
class Message : public MessageVariant {
 public:
  Message();
  /** Takes any alternative. */
  template <MessageBody T>
  Message(T body);  // NOLINT(google-explicit-constructor)
  Message(const Message& other);
  Message(Message&& other) noexcept;
  Message& operator=(const Message& other);
  Message& operator=(Message&& other) noexcept;
  ~Message();
};

/** The part of a process that a message is for. */
enum class Port : uint8_t {
  kControl,    ///< Control core.
  kEntry,      ///< Entry core.
  kAgent,      ///< Agent core.
  kDisk,       ///< Local disk of a control process.
  kCaller,     ///< HTTP listener for callers of an entry.
  kTarget,     ///< Driver of the target beside an agent.
  kOperator,   ///< JSON-RPC listener for operators of a control process.
  kTransport,  ///< The transport of the process itself.
};

/** One end of a message. */
struct Endpoint {
  NodeId node_;               ///< The process.
  Port port_ = Port::kEntry;  ///< The part of it.
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/** A message on its way. */
struct Envelope {
  Endpoint from_;  ///< Sender.
  Endpoint to_;    ///< Receiver.
  HlcTime hlc_;    ///< Sender's hybrid logical clock.
  Message body_;   ///< The message.
};

/** @return The name of the message's type, for example "StreamEnd". Thread
 * safety: pure. */
std::string_view MessageName(const Message& message);

}  // namespace gv

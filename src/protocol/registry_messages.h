/** @file registry_messages.h Messages between gateways: leases, configurations,
 * announced targets and load. */
#pragma once

#include <string>
#include <vector>

#include "state/clock_type.h"
#include "state/ids_type.h"
#include "state/target_registration_type.h"

namespace gv {

/** Any gateway to a registry member: asks for a lease and for what it lacks. */
struct RegistryPoll {
  uint64_t poll_ = 0;            ///< Number of the poll; copied to the reply.
  uint64_t version_ = 0;         ///< Configuration that the sender serves.
  uint64_t nodes_digest_ = 0;    ///< Of the gateways that the sender knows.
  uint64_t targets_digest_ = 0;  ///< Of the targets that the sender knows.
  bool has_disk_ = false;        ///< The sender can be a member, and is not
                                 ///< about to stop.
  uint64_t evacuations_revision_ = 0;  ///< Evacuations that the sender obeys.
};

/** Answers a RegistryPoll. */
struct RegistryStatus {
  uint64_t poll_ = 0;            ///< Copied from the poll.
  NodeId leader_;                ///< As far as the sender knows; or none.
  bool grant_ = false;           ///< The sender leads and nobody else can.
  uint64_t version_ = 0;         ///< Newest configuration known to the sender.
  uint64_t nodes_digest_ = 0;    ///< Of nodes.
  uint64_t targets_digest_ = 0;  ///< Of the targets that the sender knows.
  std::vector<NodeId> members_;  ///< Members of the registry; may be empty.
  std::vector<NodeId> nodes_;    ///< All gateways; empty if the digests agree.
  uint64_t parts_digest_ = 0;    ///< Of the parts that the sender quarantines.
  uint64_t evacuations_revision_ = 0;  ///< Newest evacuations known to the
                                       ///< sender.
};

/** The evacuated data centres, from a member to a gateway with older ones. */
struct EvacuationPush {
  uint64_t revision_ = 0;      ///< Index of the log entry of the last change.
  std::string data_centres_;   ///< All of them, separated by commas.
  uint64_t newest_order_ = 0;  ///< Index of the log entry of the last order.
};

/** An operator's order about a data centre, on its way to the leader, which
 * answers with ChangeOutcome. */
struct EvacuationForward {
  OperationId operation_;     ///< Matches ChangeOutcome.
  DataCentreId data_centre_;  ///< Which data centre.
  bool withdrawn_ = false;    ///< The evacuation ends.
  uint64_t based_on_ = 0;     ///< Index of the newest order that the sender
                              ///< knew while the operator waited.
};

/** A whole configuration, from a member to a gateway that has an older one. */
struct ConfigurationPush {
  uint64_t version_ = 0;  ///< Its version.
  std::string text_;      ///< As the operator sent it.
};

/** Announced targets that the sender holds newer than before. */
struct TargetGossip {
  std::vector<TargetRegistration> targets_;  ///< Some or all.
  bool is_full_ = false;                     ///< All that the sender knows.
  bool wants_reply_ = false;     ///< The receiver sends all that it knows back.
  std::vector<uint64_t> parts_;  ///< Parts of the table that are complete here.
};

/** A target was heard of again; nothing that routing depends on has changed. */
struct TargetHeard {
  TargetId target_;        ///< Which.
  uint64_t start_ms_ = 0;  ///< Of this start.
  uint64_t sequence_ = 0;  ///< Of its newest registration.
};

/** A gateway to the leader: targets that registered again. */
struct TargetsHeard {
  std::vector<TargetHeard> targets_;  ///< Since the last message.
};

/** The leader to all gateways: targets that miss registrations. */
struct TargetsSilent {
  std::vector<TargetId> silent_;   ///< All that are silent now.
  std::vector<TargetId> dropped_;  ///< Silent for too long; forget them.
};

/** A gateway to the leader: its table of targets differs. */
struct TargetQuery {
  std::vector<uint64_t> digests_;  ///< Of each part of the sender's table.
};

/** A gateway to the members: a target leaves, which the gateway acknowledges
 * once enough of them know. */
struct LeavingNotice {
  OperationId operation_;      ///< Matches LeavingNoted.
  TargetRegistration target_;  ///< Its row; without an address if it is not
                               ///< known to the sender.
};

/** Answers a LeavingNotice: the sender has taken it in. */
struct LeavingNoted {
  OperationId operation_;  ///< Copied.
};

/** A change of the configuration on its way to the leader. */
struct ChangeForward {
  OperationId operation_;  ///< Matches ChangeOutcome.
  uint64_t version_ = 0;   ///< Version of the configuration.
  std::string text_;       ///< The configuration.
};

/** Answers a ChangeForward. */
struct ChangeOutcome {
  OperationId operation_;  ///< Copied.
  bool accepted_ = false;  ///< False: nothing is known, ask again.
};

/** Asks the leader which version is the newest. */
struct ReadForward {
  OperationId operation_;  ///< Matches ReadOutcome.
};

/** Answers a ReadForward. */
struct ReadOutcome {
  OperationId operation_;   ///< Copied.
  bool confirmed_ = false;  ///< The sender led when it answered.
  uint64_t version_ = 0;    ///< Newest accepted version.
};

/** Work of one gateway at one target. */
struct TargetLoadRow {
  TargetId target_;                 ///< The target.
  int64_t requests_ = 0;            ///< In progress.
  int64_t prefill_ms_ = 0;          ///< Prefill not yet done, as predicted.
  int64_t tokens_ = 0;              ///< KV memory of the requests in progress.
  int64_t granted_requests_ = 0;    ///< Of them, those that the leader placed.
  int64_t granted_tokens_ = 0;      ///< KV memory of those.
  int64_t granted_prefill_ms_ = 0;  ///< Prefill of those, not yet done.
};

/** Not sent any more; neighbouring versions send it. */
struct ServiceRepeats {
  std::string service_;   ///< Name of the service.
  int64_t requests_ = 0;  ///< Of callers, in the window of the budget.
  int64_t repeats_ = 0;   ///< Sent once more, in the window of the budget.
};

/** Work in progress: of one gateway, or at the leader's word of all but the
 * receiver. */
struct GatewayLoad {
  std::vector<TargetLoadRow> rows_;  ///< Targets with work.
  int64_t short_streams_ = 0;        ///< Streams of short prompts in progress.
  int64_t long_prefill_ms_ = 0;      ///< Prefill of long prompts, last second.
  int64_t long_tokens_ = 0;          ///< KV memory of long prompts in progress.
  std::vector<ServiceRepeats> repeats_;  ///< Always empty in this version.
  int64_t summed_ =
      0;  ///< Gateways summed up in it; zero for the sender alone.
};

/** A gateway to the leader: a prompt wants engines. */
struct PromptAsk {
  OperationId operation_;      ///< Chosen by the gateway.
  std::string service_;        ///< Where to.
  int64_t prompt_tokens_ = 0;  ///< To be read.
  int64_t answer_tokens_ = 0;  ///< To be written, at most.
  Duration order_;   ///< Equal to latest_; leaders of the previous version
                     ///< order prompts by it.
  Duration latest_;  ///< It is refused rather than begun after this time.
  std::vector<TargetId> tried_;  ///< Targets that failed it, or that the
                                 ///< gateway suspects.
  Duration time_left_;  ///< Until its answer has to end; zero from a gateway of
                        ///< the previous version.
  int64_t rank_ = 0;    ///< Priority of its caller; zero is served first.
  int64_t route_rank_ = 0;  ///< Priority of its route; zero from a gateway of
                            ///< the previous version.
};

/** Memory to be reserved at one engine. */
struct ReservationPlan {
  TargetId target_;     ///< The engine.
  int64_t tokens_ = 0;  ///< How much.
};

/** What is known of the limit of a target. */
struct TargetLimitRow {
  TargetId target_;        ///< The target.
  double per_second_ = 0;  ///< Requests that it takes from all gateways.
  bool is_over_ = false;   ///< The target does not name a limit any more.
  Duration age_;           ///< Since the receipt of the answer that named it;
                           ///< if it is over, since the sending of the request
                           ///< whose answer did not.
};

/** A gateway to the leader, and the leader to all others: targets named limits,
 * or stopped to. */
struct LimitReport {
  std::vector<TargetLimitRow> rows_;  ///< One for each target.
};

/** A gateway to the leader: a request wants one of these targets, which all
 * have a limit. */
struct LimitAsk {
  OperationId operation_;                ///< Chosen by the gateway.
  std::vector<TargetLimitRow> targets_;  ///< Any of them will do.
  Duration longest_wait_;  ///< Longest time that the request can wait.
};

/** The leader to a gateway: whether the request may be sent. */
struct LimitReply {
  OperationId operation_;  ///< Copied.
  TargetId target_;        ///< Target of the permit, or the next to have one.
  bool granted_ = false;   ///< Permits one request to target_.
  Duration wait_;          ///< Time until it may be sent; if it is refused,
                           ///< until the caller should return.
};

/** The leader to a gateway: the prompt may be sent now. */
struct PromptPlaced {
  OperationId operation_;                      ///< Copied.
  TargetId target_;                            ///< Gets the request.
  std::vector<TargetId> helpers_;              ///< Read parts of the prompt.
  std::vector<ReservationPlan> reservations_;  ///< For prompts that don't fit.
  int64_t part_ms_ = 0;              ///< Predicted prefill at each engine.
  int64_t wait_ms_ = 0;              ///< Predicted time to the first event.
  int64_t queued_ms_ = 0;            ///< Time spent at the leader.
  std::vector<TargetId> permitted_;  ///< Those with a limit; each counts one
                                     ///< request.
};

/** The leader to a gateway: the prompt can't begin in time. */
struct PromptRefused {
  OperationId operation_;  ///< Copied.
  Duration wait_;          ///< Predicted.
};

/** The leader to a gateway: a prompt waits for engines. */
struct PromptQueued {
  OperationId operation_;  ///< Copied.
};

/** A gateway to the leader: a failed request wants another target. */
struct RetryAsk {
  OperationId operation_;  ///< Chosen by the gateway.
  std::string service_;    ///< Service whose budget pays.
};

/** The leader to a gateway: whether the request may be sent once more. */
struct RetryReply {
  OperationId operation_;  ///< Copied.
  bool granted_ = false;   ///< Permits one retry.
};

/** A prompt that had no answer when its engine crashed. */
struct CrashedPrompt {
  std::vector<PromptPartId> parts_;  ///< That other prompts may have as well.
  Duration running_;                 ///< From its sending to the crash.
};

/** A gateway to all others: an engine crashed. Each gateway tells of its own
 * prompts. */
struct EngineCrash {
  TargetId target_;                     ///< The engine.
  uint64_t start_ms_ = 0;               ///< Of the start that crashed.
  std::string service_;                 ///< Its service.
  Duration age_;                        ///< Since the crash.
  std::vector<CrashedPrompt> prompts_;  ///< Of the sender.
};

/** A gateway to all others: answers to prompts with these parts have begun. */
struct PartsAnswered {
  std::string service_;              ///< Of the engine.
  std::vector<PromptPartId> parts_;  ///< Parts that were seen in a crash.
};

/** A part of prompts that crashes engines. */
struct QuarantinedPart {
  std::string service_;             ///< Of the engines.
  PromptPartId part_;               ///< The part.
  std::vector<PromptPartId> with_;  ///< Only prompts with all of these.
  Duration crash_age_;              ///< Since its newest crash.
  Duration until_trial_;            ///< Negative if one is due.
  Duration length_;                 ///< Of the quarantine.
};

/** A part of prompts that was seen in a crash and in an answer since. */
struct AnsweredPart {
  std::string service_;  ///< Of the engine.
  PromptPartId part_;    ///< The part.
  Duration age_;         ///< Since the answer.
};

/** What a gateway knows of parts that crash engines. */
struct PartTable {
  std::vector<QuarantinedPart> quarantined_;  ///< All of them.
  std::vector<AnsweredPart> answered_;        ///< Recent ones.
  bool wants_reply_ = false;  ///< The receiver sends its table back.
};

/** How an attempt at a target ended, as far as its health is concerned. */
enum class HealthOutcome : uint8_t {
  kUnknown,      ///< Nothing was seen; the caller left, or it was not sent.
  kGood,         ///< A whole answer.
  kFull,         ///< It refused since it was full; says nothing of its health.
  kError,        ///< An answer that says that the target failed.
  kUnreachable,  ///< No connection, a broken one, or silence.
};

/** A gateway to the leader: how a placed prompt goes on. */
struct PromptStep {
  OperationId operation_;  ///< Of the ask.
  bool ended_ = false;     ///< True at its end, false at its first event.
  TargetId target_;        ///< Where it ended; or none.
  HealthOutcome outcome_ = HealthOutcome::kUnknown;  ///< At its end.
};

}  // namespace gv

/** @file gateway.h The process of a gateway: listeners, registry, targets and
 * all requests in progress. */
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "coordination/gateway/answer_times.h"
#include "coordination/gateway/caller_patience.h"
#include "coordination/gateway/load_ledger.h"
#include "coordination/gateway/pause_guard.h"
#include "coordination/gateway/placement.h"
#include "coordination/gateway/prompt_scheduler.h"
#include "coordination/gateway/registry_core.h"
#include "coordination/gateway/retry_allowance.h"
#include "coordination/gateway/routing_table.h"
#include "coordination/gateway/target_health.h"
#include "state/process_settings.h"
#include "transport/file_disk.h"
#include "transport/gateway/forward.h"
#include "transport/gateway/http_service.h"
#include "transport/gateway/line_log.h"
#include "transport/gateway/memory_keeper.h"
#include "transport/gateway/process_limits.h"
#include "transport/gateway/target_pool.h"
#include "transport/gateway/wire_codec.h"
#include "transport/peer_network.h"

namespace gv {

/**
 * Joins the pure cores with sockets, disk and clock. One thread runs
 * everything but the disk. Thread safety: Open and Run on one thread.
 */
class Gateway {
 public:
  /** @param codec Outlives the gateway. @param log Descriptor of log lines. */
  Gateway(ProcessSettings settings, std::string settings_file,
          const WireCodec& codec, int log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /** Opens disk and listeners. @return Nothing, or what could not be opened. */
  Result<void> Open();
  /** Runs until a planned stop is complete. */
  void Run();
  /** Ends Run() at once, like a crash. Thread safety: any thread. */
  void Halt() { io_.stop(); }

  // For requests in progress.
  TimePoint Now() const;
  const WireCodec& Codec() const { return codec_; }
  const RegistryCore& Registry() const { return registry_; }
  /** @return The routes to serve, or nullptr before the first configuration. */
  const RoutingTable* Table() const { return table_ ? &*table_ : nullptr; }
  const Placer& GetPlacer() const { return placer_; }
  LoadLedger& Ledger() { return ledger_; }
  TargetPool& Pool() { return pool_; }
  /** @return Retries that this gateway may permit itself at a service. */
  RetryAllowance& Retries(const std::string& service);
  /** @return Times of whole answers of a plain service. */
  AnswerTimes& TimesOf(const std::string& service) {
    return answer_times_[service];
  }
  /** @return How long the callers of a route wait for the first event. */
  CallerPatience& PatienceOf(const std::string& route) {
    return patience_[route];
  }
  bool IsStopping() const { return stopping_; }
  /** @return True if retries need a lease, too, as operators evacuate data
   * centres within a bound. */
  bool SendsOnlyWithLease() const {
    return settings_.gateway_evacuation_ms_ > 0;
  }
  /** @return Requests that wait for the lease of this gateway. */
  HeldWork& HeldRequests() { return held_requests_; }
  /** @return Size in bytes beyond which a whole answer is a failure. */
  size_t MaxAnswerBytes() const {
    return static_cast<size_t>(settings_.gateway_answer_bytes_);
  }
  /** @return Size in bytes beyond which an event of a stream is a failure. */
  size_t MaxEventBytes() const {
    return static_cast<size_t>(settings_.gateway_event_bytes_);
  }
  /** @return Bounds what all requests and connections hold together. */
  MemoryKeeper& Memory() { return memory_; }
  /** @return False once a planned stop leaves no time for new requests. */
  bool AcceptsRequests() const;
  /** @return When a planned stop ends what is left; Never without one. */
  TimePoint StopsAt() const;
  /** Takes in what an attempt says of a target's health. */
  void OnOutcome(const TargetId& target, HealthOutcome outcome);
  /** An attempt has ended without an answer or an event, as its connection
   * broke. Finds out whether the target crashed.
   * @param parts What the request holds; not empty.
   * @param sent When it was sent. */
  void OnAttemptBroken(const TargetId& target, const std::string& address,
                       const std::string& service,
                       const std::vector<PromptPartId>& parts, TimePoint sent);
  /** A target has begun to answer a request with @p parts. */
  void OnAnswerBegun(const std::string& service,
                     const std::vector<PromptPartId>& parts);
  /** @return Requests and parts of prompts that crash targets. */
  PartQuarantine& Parts() { return registry_.Parts(); }
  /** Takes in what an answer says of its target beside the answer.
   * @param start_ms The start of the target that answered. */
  void OnAnswerFacts(const TargetId& target, uint64_t start_ms,
                     const AnswerFacts& facts);
  /** Takes in what an answer says of the limit of its target.
   * @param sent When the request was sent. */
  void OnAnswerLimit(const TargetId& target, const AnswerFacts& facts,
                     TimePoint sent);
  /** @return True if a request may be sent to @p target now. */
  bool MaySendTo(const TargetId& target) const;
  /** @return True if requests to @p target need a permit of the leader. */
  bool IsLimited(const TargetId& target) const {
    return registry_.Limits().IsLimited(target);
  }
  /** Forgets a request. */
  void OnForwardEnded(const Forward& forward);
  void Record(const Event& event);
  /** Records what concerns the process as a whole. */
  void Record(EventId id, std::string detail);
  /** Records that a request was refused, as its end is in doubt. */
  void RecordBadHead(const std::string& listener, HeadFault fault);
  /** Counts an ended request. */
  void Count(RouteKind kind, const char* outcome);
  /** Counts a refusal as not run. @param was_sent An attempt preceded it. */
  void CountRefusal(RouteKind kind, bool was_sent);
  /** Adds to the histogram of times to the first event. */
  void ObserveFirstEvent(RouteKind kind, Duration time);
  /** @return True if the leader answers, as far as is known. */
  bool IsLeaderAvailable() const;
  /** @return When the leader answered a question last. */
  TimePoint LastLeaderReply() const { return last_leader_reply_; }
  /** The leader has left a question without an answer for too long.
   * @param asked When it was asked. */
  void OnLeaderTimeout(TimePoint asked);
  /** @return Targets that requests should not go to, as this gateway saw. */
  std::vector<TargetId> Suspected() const { return health_.Suspected(Now()); }
  /**
   * Asks the leader for engines for a prompt.
   * @param done Gets PromptPlaced or PromptRefused, if the leader
   * answers. @return For ReportPromptProgress.
   */
  OperationId SendPlacementRequest(PromptAsk ask,
                                   std::function<void(const Message&)> done);
  /** @return The leader that was asked, or none if it is forgotten. */
  NodeId LeaderOfRequest(OperationId operation) const;
  /** @return True if the leader has queued the prompt. */
  bool IsQueuedAtLeader(OperationId operation) const;
  /** Sends the placement request again, in case the reply was lost. */
  void RepeatPlacementRequest(OperationId operation, PromptAsk ask);
  /** Tells the leader how a prompt goes on. @param target Where it ended. */
  void ReportPromptProgress(OperationId operation, bool ended,
                            const TargetId& target, HealthOutcome outcome);
  /**
   * Asks the leader whether a request may be sent once more.
   * @param done Called once, unless there is no answer.
   * @return For ForgetRetryAsk.
   */
  OperationId AskForRetry(const std::string& service,
                          std::function<void(bool)> done);
  /** The answer is not needed any more. Ignores unknown ids. */
  void ForgetRetryAsk(OperationId operation) { retry_asks_.erase(operation); }
  /**
   * Asks the leader for a permit for one request to any of @p targets, which
   * name limits.
   * @param longest_wait Longest time that the request can wait for its permit.
   * @param done Called once, also without an answer of the leader.
   * @return For ForgetLimitAsk. @pre IsLeaderAvailable().
   */
  OperationId AskForLimitPermit(const std::vector<TargetId>& targets,
                                Duration longest_wait,
                                std::function<void(const LimitReply&)> done);
  /** The permit is not needed any more. Ignores unknown ids. */
  void ForgetLimitAsk(OperationId operation) { limit_asks_.erase(operation); }
  /** @return When to ask again for targets with a limit of a service that has
   * other targets as well. */
  TimePoint NextLimitAsk(const std::string& service) const;
  /** Sets the result of NextLimitAsk(). */
  void SetNextLimitAsk(const std::string& service, TimePoint time) {
    next_limit_asks_[service] = time;
  }
  /** Posts an order to a target. @param done Gets its status, or 0. */
  void SendOrder(const std::string& address, const TargetOrder& order,
                 std::function<void(unsigned)> done);
  /** Renews a reservation; at a target with a limit once there is a permit. */
  void RenewTicket(const TargetId& target, const std::string& address,
                   const TargetOrder& order);
  /** Ends a reservation; tried again a few times. A target with a limit ends it
   * by itself when its lifetime is over. */
  void ReleaseTicket(const TargetId& target, const std::string& address,
                     const std::string& ticket);

 private:
  /** An order on its way. */
  struct OpenOrder {
    std::shared_ptr<TargetConnection> connection_;  ///< Where.
    TimePoint until_;                               ///< When it is given up.
    std::function<void(unsigned)> done_;            ///< Gets the status.
    unsigned status_ = 0;                           ///< Of the answer.
    std::optional<Duration> keep_alive_;            ///< Of the connection.
  };
  /** A prompt that the leader knows of. */
  struct OpenPlacementRequest {
    NodeId leader_;                             ///< Who was asked.
    bool is_queued_ = false;                    ///< The leader has it queued.
    std::function<void(const Message&)> done_;  ///< Until it has answered.
  };
  /** A request for a permit that is open at the leader. */
  struct OpenLimitAsk {
    TimePoint until_;                              ///< When it is given up.
    std::function<void(const LimitReply&)> done_;  ///< Gets the answer.
  };
  /** A connection attempt that tells whether a target has crashed. */
  struct CrashProbe {
    std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
    TimePoint broken_;   ///< When the first attempt broke.
    EngineCrash crash_;  ///< Told to all if the target takes no connection.
  };
  /** A reservation that may still stand. */
  struct OpenRelease {
    std::string address_;  ///< Of the target.
    std::string ticket_;   ///< Its name.
    int tries_ = 0;        ///< Sent so far.
    TimePoint next_;       ///< When to send again.
  };

  // gateway.cc: start, tick, stop.
  Result<void> OpenDisk();
  Result<void> OpenListeners();
  void RunEvents();

  // gateway_callers.cc: connections of callers.
  void AcceptCallers();
  /** Closes an idle connection if callers have no descriptor left. @return
   * False if there is none. */
  bool MakeRoomForCaller();
  void OnCaller(boost::asio::ip::tcp::socket socket);
  /** @return A copy, as connections may close while it is walked through. */
  std::vector<std::shared_ptr<GatewayCaller>> OpenCallers() const;
  void TickCallers(TimePoint now);
  void ResumeReading();
  /** Logs one line for all closings since the last call, if any. */
  void ReportClosings();

  void ScheduleTick();
  void OnTick();
  void TickRequests(TimePoint now);
  void WaitForSignals();
  void BeginStop();
  void CheckStop(TimePoint now);
  void EndRequests();
  bool HasOpenAnswers() const;
  bool IsReady() const;
  void NoteDependencies(TimePoint now);

  void OnMemoryExcess(const ExcessHolder& excess);

  // gateway_registry.cc: the registry's messages, disk and configurations.
  void Step(const Envelope& in);
  void CarryOut(Outbox& out);
  void OnPeerEnvelope(Envelope envelope);
  void OnDiskMessage(Message message);
  void ReopenDisk();
  void TakeServed();
  void FinishOperations();
  void ShareLoad(TimePoint now);
  void SendSums(const GatewayLoad& own);

  // gateway_calls.cc: readiness, metrics, targets, operators.
  void OnReadiness(const CountedRequest& request,
                   const HttpService::Respond& done);
  void OnControl(const CountedRequest& request, const RequestOrigin& origin,
                 HttpService::Respond done);
  /** @return A registration whose warm-up can be judged by the registry. Logs a
   * warm-up that is not usable. */
  TargetRegistration CheckWarmUp(TargetRegistration target);
  void OnRegister(const std::string& id, const CountedRequest& request,
                  const HttpService::Respond& done);
  void OnDepart(const std::string& id, const RequestOrigin& origin,
                const HttpService::Respond& done);
  /** Answers 200 once an operation is accepted, or 503. */
  void AnswerWhenAccepted(OperationId operation,
                          const HttpService::Respond& done);
  void OnPutConfiguration(const CountedRequest& request,
                          HttpService::Respond done);
  void OnGetConfiguration(HttpService::Respond done);
  void OnEvacuationOrder(const EvacuationOrder& order,
                         const RequestOrigin& origin,
                         const HttpService::Respond& done);
  void OnListEvacuations(const HttpService::Respond& done);
  bool KnowsDataCentre(const DataCentreId& data_centre) const;
  std::string MetricsText();

  // gateway_prompts.cc: prompts that the leader places.
  void SendToPeer(const NodeId& node, Message body);
  void SendToLeader(const NodeId& leader, Message body);
  bool OnPromptMessage(const NodeId& from, const Message& body);
  void HandlePlacementReply(OperationId operation, const Message& body);
  void SendSchedulerReplies();

  // gateway_parts.cc: parts of prompts that crash engines.
  void OnCrashProbe(const TargetId& target, bool refused);
  void TickCrashProbes(TimePoint now);

  // gateway_retries.cc: budget of retries.
  void OnRetryReply(const RetryReply& reply);

  // gateway_limits.cc: permits for targets that name a limit.
  void OnLimitReply(const LimitReply& reply);
  void TickLimitAsks(TimePoint now);

  // gateway_orders.cc: orders to targets.
  void FinishOrder(uint64_t id, ExchangeEnd end);
  void SendRelease(TimePoint now, uint64_t id);
  void TickOrders(TimePoint now);

  ProcessSettings settings_;           ///< Of this process.
  std::string settings_file_;          ///< Read again on SIGHUP.
  const WireCodec& codec_;             ///< Of the surroundings.
  MemoryKeeper memory_;                ///< Outlives what waits in io_.
  boost::asio::io_context io_;         ///< Runs everything.
  DescriptorShares shares_;            ///< Connections by listener.
  NodeId self_;                        ///< Address for peers.
  LineLog log_;                        ///< Standard output.
  RegistryCore registry_;              ///< What all gateways share.
  PauseGuard pauses_;                  ///< Of this process.
  LoadLedger ledger_;                  ///< Work at targets.
  TargetHealth health_;                ///< Failures of targets.
  Placer placer_;                      ///< Chooses targets.
  PromptScheduler scheduler_;          ///< Used while this gateway leads.
  TargetPool pool_;                    ///< Connections to targets.
  std::optional<RoutingTable> table_;  ///< Of the served configuration.
  uint64_t table_version_ = 0;         ///< Of table_.
  KnownRoutes known_routes_;           ///< Of the newest that was decoded.
  std::map<std::string, RetryAllowance> retries_;    ///< By service.
  std::map<std::string, AnswerTimes> answer_times_;  ///< By service.
  std::map<std::string, CallerPatience> patience_;   ///< By route.
  std::map<OperationId, std::function<void(bool)>>
      retry_asks_;                                    ///< Open at a leader.
  std::map<OperationId, OpenLimitAsk> limit_asks_;    ///< Open at a leader.
  std::map<std::string, TimePoint> next_limit_asks_;  ///< By service.
  std::unique_ptr<PeerNetwork> peers_;                ///< Other gateways.
  std::unique_ptr<FileDisk> disk_;  ///< Of the replica, or null.
  uint64_t disk_number_ = 0;        ///< Counts openings of the disk.
  TimePoint reopen_disk_;           ///< When to try again; Never if open.

  boost::asio::ip::tcp::acceptor acceptor_;  ///< For callers.
  boost::asio::steady_timer accept_again_;   ///< After a failed accept.
  HttpService readiness_;                    ///< For the balancer.
  HttpService control_;                      ///< For targets and operators.
  HttpService metrics_;                      ///< For monitoring.
  boost::asio::steady_timer tick_;           ///< Drives everything timed.
  boost::asio::signal_set signals_;          ///< SIGTERM, SIGINT, SIGHUP.

  uint64_t last_caller_ = 0;  ///< For ids of connections.
  std::unordered_map<uint64_t, std::shared_ptr<GatewayCaller>>
      callers_;                   ///< Open connections.
  bool reading_put_off_ = false;  ///< Some caller waits for memory.
  uint64_t closed_callers_ = 0;   ///< For descriptors, since the last report.
  uint64_t failed_accepts_ = 0;   ///< Since the last report.
  std::unordered_map<const Forward*, std::shared_ptr<Forward>>
      forwards_;  ///< Requests in progress.
  std::map<OperationId, std::function<void(const OperationResult&)>>
      operations_;                      ///< Operators' calls that wait.
  OperationId last_placement_request_;  ///< For ids of asks.
  std::map<OperationId, OpenPlacementRequest>
      placement_requests_;                       ///< Open at a leader.
  std::map<TargetId, CrashProbe> crash_probes_;  ///< In progress.
  uint64_t last_order_ = 0;               ///< For ids of orders and releases.
  std::map<uint64_t, OpenOrder> orders_;  ///< On their way.
  std::map<uint64_t, OpenRelease> releases_;  ///< To be sent again.

  bool stopping_ = false;           ///< A planned stop has begun.
  TimePoint stop_begun_;            ///< When.
  bool had_lease_ = false;          ///< For log lines.
  HeldWork held_requests_;          ///< Until the lease is there.
  TimePoint leader_backoff_until_;  ///< Not before this time.
  TimePoint last_leader_reply_;     ///< When a question was answered last.
  TimePoint next_load_;             ///< When to report the load.
  TimePoint next_silence_;          ///< When to look for silent peers.
  TimePoint next_input_check_;      ///< When to look for unread orders.
  bool load_sent_empty_ = false;    ///< The last report had no work.

  prometheus::Registry metrics_registry_;              ///< All metrics.
  prometheus::Family<prometheus::Counter>& events_;    ///< By event.
  prometheus::Family<prometheus::Counter>& requests_;  ///< By kind, outcome.
  /** By kind, and whether an attempt preceded the refusal. */
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Histogram>& first_events_;  ///< By kind.
};

/** @return The peer addresses of the seeds, whose settings may name any of
 * their ports. Thread safety: pure. */
std::vector<NodeId> SeedNodes(const ProcessSettings& settings);

/** Removes the headers that concern one connection only. Thread safety: pure.
 */
void RemoveHopByHopHeaders(HttpFields& fields);

/** Runs a gateway until it is stopped. @return Exit code. */
int RunGateway(const ProcessSettings& settings,
               const std::string& settings_file);

}  // namespace gv

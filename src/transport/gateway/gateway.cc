/** @file gateway.cc Start, tick and planned stop of a gateway. */
#include "transport/gateway/gateway.h"

#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <csignal>
#include <iostream>

#include "transport/gateway/process_limits.h"
#include "transport/listen.h"
#include "transport/process_settings_file.h"
#include "transport/secret.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

/** Timeouts are kept to within this time; half a second is allowed. */
constexpr std::chrono::milliseconds kTickPeriod{50};
/** The balancer takes a gateway out after two misses, one a second; new
 * connections may come a little later. */
constexpr Duration kAnnounce = 4_s;
/** New requests are taken on for this time of a planned stop; by then the
 * balancer has noticed it, and what was taken still ends within the grace. */
constexpr Duration kTakeOn = 2800_ms;
/** The same as a part of the grace time, if that is short. */
constexpr int64_t kTakeOnDivisor = 2;
/** Kept of the grace time for the exit itself. */
constexpr Duration kStopMargin = 600_ms;
/** Before the exit, what is left gets a final answer and time to be sent. */
constexpr Duration kFinalAnswers = 150_ms;
constexpr int kExitStartFailed = 1;
/** Part of what may be held that is for the queue of one peer. */
constexpr size_t kPeerQueueDivisor = 4;

/** @return A number that ids of operations count up from half of. They must
 * differ from those before a restart, as answers to these may still arrive and
 * the leader may still hold their prompts. */
uint64_t SeedOfStart(const ProcessSettings& settings) {
  const std::string start =
      settings.listen_peers_ + "/" + std::to_string(WallMs());
  return XXH3_64bits(start.data(), start.size());
}

RegistrySettings MakeRegistrySettings(const ProcessSettings& settings) {
  RegistrySettings registry;
  registry.self_ = NodeId(settings.listen_peers_);
  registry.seeds_ = SeedNodes(settings);
  registry.has_disk_ = !settings.data_folder_.empty();
  registry.tolerated_losses_ = settings.gateway_tolerated_losses_;
  registry.revocation_bound_ = Duration(settings.gateway_revocation_ms_);
  if (settings.gateway_evacuation_ms_ > 0) {
    // A lease ends before either bound, so it covers both.
    registry.revocation_bound_ = std::min(
        registry.revocation_bound_, Duration(settings.gateway_evacuation_ms_));
  }
  registry.retries_.ratio_ = settings.gateway_retry_ratio_;
  registry.retries_.window_ = Duration(settings.gateway_retry_window_ms_);
  registry.retries_.slack_ = settings.gateway_retry_slack_;
  registry.seed_ = SeedOfStart(settings);
  return registry;
}

}  // namespace

std::vector<NodeId> SeedNodes(const ProcessSettings& settings) {
  std::string ip;
  uint16_t peer_port = 0;
  uint16_t port = 0;
  SplitAddress(settings.listen_peers_, ip, peer_port);
  std::vector<NodeId> seeds;
  for (const std::string& seed : settings.gateway_seeds_) {
    if (SplitAddress(seed, ip, port)) {
      seeds.emplace_back(ip + ":" + std::to_string(peer_port));
    }
  }
  return seeds;
}

Gateway::Gateway(ProcessSettings settings, std::string settings_file,
                 const WireCodec& codec, int log)
    : settings_(std::move(settings)),
      settings_file_(std::move(settings_file)),
      codec_(codec),
      memory_(io_, MemoryLimit(settings_),
              [this](const ExcessHolder& excess) { OnMemoryExcess(excess); }),
      io_(1),
      shares_(ShareDescriptors(DescriptorLimit(settings_))),
      self_(settings_.listen_peers_),
      log_(log, settings_.node_),
      registry_(MakeRegistrySettings(settings_)),
      placer_(self_, DataCentreId(settings_.data_centre_), registry_.Targets(),
              ledger_, health_, registry_.Limits()),
      scheduler_(placer_),
      pool_(io_),
      reopen_disk_(TimePoint::Never()),
      acceptor_(io_),
      accept_again_(io_),
      readiness_(
          io_, memory_, shares_.service_,
          [this](const CountedRequest& request, const RequestOrigin& /*origin*/,
                 const HttpService::Respond& done) {
            OnReadiness(request, done);
          },
          [this](HeadFault fault) { RecordBadHead("readiness", fault); }),
      control_(
          io_, memory_, shares_.service_,
          [this](const CountedRequest& request, const RequestOrigin& origin,
                 HttpService::Respond done) {
            OnControl(request, origin, std::move(done));
          },
          [this](HeadFault fault) { RecordBadHead("control", fault); }),
      metrics_(
          io_, memory_, shares_.service_,
          [this](const CountedRequest& /*request*/,
                 const RequestOrigin& /*origin*/,
                 const HttpService::Respond& done) {
            done(MakeReply(200, "text/plain", MetricsText()));
          },
          [this](HeadFault fault) { RecordBadHead("metrics", fault); }),
      tick_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      last_placement_request_(SeedOfStart(settings_) / 2),
      events_(prometheus::BuildCounter()
                  .Name("gooseberryvale_events_total")
                  .Help("Events by name")
                  .Register(metrics_registry_)),
      requests_(prometheus::BuildCounter()
                    .Name("gooseberryvale_requests_total")
                    .Help("Ended requests by kind and outcome")
                    .Register(metrics_registry_)),
      refusals_(prometheus::BuildCounter()
                    .Name("gooseberryvale_refusals_total")
                    .Help("Requests refused as not run")
                    .Register(metrics_registry_)),
      first_events_(prometheus::BuildHistogram()
                        .Name("gooseberryvale_first_event_ms")
                        .Help("Time to the first event or the answer")
                        .Register(metrics_registry_)) {}

Gateway::~Gateway() = default;

TimePoint Gateway::Now() const { return BootNow(); }

Result<void> Gateway::Open() {
  BOOST_OUTCOME_TRY(const auto key, ReadKeyFile(settings_.key_file_));
  peers_ = std::make_unique<PeerNetwork>(
      io_, PeerIdentity{self_, settings_.cluster_, key},
      [this](Envelope envelope) { OnPeerEnvelope(std::move(envelope)); },
      memory_.Limit() / kPeerQueueDivisor, shares_.unproven_);
  if (!settings_.data_folder_.empty()) {
    const Result<void> opened = OpenDisk();
    if (!opened.has_value()) {
      std::cerr << opened.error().detail_ << "\n";
      reopen_disk_ = Now() + 1_s;
    }
  }
  BOOST_OUTCOME_TRY(peers_->Listen(settings_.listen_peers_));
  return OpenListeners();
}

Result<void> Gateway::OpenListeners() {
  BOOST_OUTCOME_TRY(readiness_.Listen(settings_.listen_readiness_));
  BOOST_OUTCOME_TRY(control_.Listen(settings_.listen_control_));
  if (!settings_.listen_metrics_.empty()) {
    BOOST_OUTCOME_TRY(metrics_.Listen(settings_.listen_metrics_));
  }
  BOOST_OUTCOME_TRY(OpenAcceptor(acceptor_, settings_.listen_callers_));
  AcceptCallers();
  return boost::outcome_v2::success();
}

void Gateway::OnForwardEnded(const Forward& forward) {
  forwards_.erase(&forward);
}

void Gateway::ScheduleTick() {
  tick_.expires_after(kTickPeriod);
  tick_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      ScheduleTick();
      OnTick();
    }
  });
}

void Gateway::OnTick() {
  const TimePoint now = Now();
  pauses_.OnTick(now);
  ledger_.SetLeader(registry_.Leader());
  Step(
      Envelope{{self_, Port::kTransport}, {self_, Port::kControl}, {}, Tick{}});
  TickRequests(now);
  TickOrders(now);
  TickCrashProbes(now);
  TickLimitAsks(now);
  scheduler_.OnTick(now);
  SendSchedulerReplies();
  ShareLoad(now);
  NoteDependencies(now);
  if (now >= reopen_disk_) {
    ReopenDisk();
  }
  if (now >= next_input_check_) {
    constexpr Duration kInputCheckPeriod = 200_ms;
    next_input_check_ = now + kInputCheckPeriod;
    control_.NoteUnreadInput(now);
  }
  if (now >= next_silence_) {
    constexpr Duration kSilencePeriod = 500_ms;
    /** Polls and their answers pass every 400 ms. */
    constexpr Duration kPeerSilence = 1500_ms;
    next_silence_ = now + kSilencePeriod;
    peers_->DropSilent(kPeerSilence);
    pool_.OnTick(now);
    ledger_.RemoveOldReports(now, 2_s);
    scheduler_.RemoveLostGateways(now, ledger_, self_);
    TickCallers(now);
    readiness_.OnTick(now);
    control_.OnTick(now);
    metrics_.OnTick(now);
    ReportClosings();
  }
  ResumeReading();
  log_.Flush(now);
  CheckStop(now);
}

void Gateway::TickRequests(TimePoint now) {
  std::vector<std::shared_ptr<Forward>> forwards;
  forwards.reserve(forwards_.size());
  for (const auto& [key, forward] : forwards_) {
    forwards.push_back(forward);
  }
  for (const auto& forward : forwards) {
    forward->OnTick(now);
  }
}

bool Gateway::IsReady() const {
  return !stopping_ && table_ && registry_.HasLease(Now());
}

void Gateway::NoteDependencies(TimePoint now) {
  const bool has = registry_.HasLease(now);
  if (has == had_lease_) {
    return;
  }
  had_lease_ = has;
  Record(has ? EventId::kDependencyRegained : EventId::kDependencyLost,
         "lease leader=" + registry_.Leader().Value());
}

void Gateway::WaitForSignals() {
  signals_.async_wait([this](boost::system::error_code error, int number) {
    if (error) {
      return;
    }
    WaitForSignals();
    if (number == SIGHUP) {
      const auto read = LoadProcessSettings(settings_file_);
      Record(EventId::kSettingsReloaded,
             read.has_value() ? "seeds and bounds apply from the next start"
                              : read.error().detail_);
    } else {
      BeginStop();
    }
  });
}

void Gateway::BeginStop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_begun_ = Now();
  registry_.BeginStop();
  Record(EventId::kProcessStopping,
         "requests=" + std::to_string(forwards_.size()) +
             " connections=" + std::to_string(callers_.size()));
}

bool Gateway::AcceptsRequests() const {
  return !stopping_ ||
         Now() - stop_begun_ <
             std::min(kTakeOn, (StopsAt() - stop_begun_) / kTakeOnDivisor);
}

TimePoint Gateway::StopsAt() const {
  return stopping_
             ? stop_begun_ + Duration(settings_.gateway_grace_ms_) - kStopMargin
             : TimePoint::Never();
}

void Gateway::EndRequests() {
  std::vector<std::shared_ptr<Forward>> forwards;
  for (const auto& [key, forward] : forwards_) {
    forwards.push_back(forward);
  }
  for (const auto& forward : forwards) {
    forward->OnGatewayEnds();
  }
}

bool Gateway::HasOpenAnswers() const {
  return !forwards_.empty() ||
         std::any_of(callers_.begin(), callers_.end(), [](const auto& item) {
           return item.second->IsBusy() || item.second->Unsent() > 0;
         });
}

void Gateway::CheckStop(TimePoint now) {
  if (!stopping_) {
    return;
  }
  const Duration spent = now - stop_begun_;
  const bool quiet = spent > kAnnounce && !HasOpenAnswers();
  if (now > StopsAt() - kFinalAnswers) {
    EndRequests();
  }
  if (quiet || now > StopsAt()) {
    Record(EventId::kProcessStopped,
           "requests=" + std::to_string(forwards_.size()) +
               " after_ms=" + std::to_string(spent.Ms()));
    log_.Flush(now);
    io_.stop();
  }
}

void Gateway::RunEvents() {
  // An error ends the handling of one input only; requests that it concerned
  // end at their limits.
  for (;;) {
    try {
      io_.run();
      return;
    } catch (const std::exception& error) {
      Record(EventId::kInternalError, error.what());
    }
  }
}

void Gateway::Run() {
  Record(EventId::kProcessStarted,
         "roles=gateway self=" + self_.Value() +
             " disk=" + (disk_ ? "yes" : "no") +
             " seeds=" + std::to_string(settings_.gateway_seeds_.size()) +
             " memory_limit=" + std::to_string(memory_.Limit()) +
             " most_callers=" + std::to_string(shares_.callers_));
  log_.Flush(Now());
  WaitForSignals();
  ScheduleTick();
  RunEvents();
  pool_.Close();
  peers_->Close();
  disk_.reset();
}

int RunGateway(const ProcessSettings& settings,
               const std::string& settings_file) {
  const WireCodec* codec = GetWireCodec();
  if (codec == nullptr) {
    std::cerr << settings_file
              << ": roles: this binary has no wire codec for gateways\n";
    return kExitStartFailed;
  }
  ReturnFreedMemory();
  Gateway gateway(settings, settings_file, *codec, STDOUT_FILENO);
  const Result<void> opened = gateway.Open();
  if (!opened.has_value()) {
    std::cerr << settings_file << ": " << opened.error().detail_ << "\n";
    return kExitStartFailed;
  }
  gateway.Run();
  return 0;
}

}  // namespace gv

/** @file process.cc Joins cores, devices and listeners by the roles of a
 * process. */
#include "transport/process.h"

#include <xxhash.h>

#include <boost/outcome/try.hpp>

#include "coordination/replay_roles.h"
#include "state/table/request_names.h"
#include "transport/secret.h"
#include "transport/steady_clock.h"
#include "transport/trace_file.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using boost::outcome_v2::success;

constexpr Duration kOperatorTimeout = 5_s;
constexpr int kEntryStopOrder = 0;
constexpr int kAgentStopOrder = 0;
constexpr int kControlStopOrder = 1;
constexpr std::chrono::milliseconds kFlushTime{200};
constexpr unsigned kUnauthorized = 401;

uint64_t Hash(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

TargetInfo AnnouncedTarget(const ProcessSettings& settings,
                           Incarnation incarnation) {
  TargetInfo info;
  info.target_ = TargetId(settings.target_);
  info.agent_ = NodeId(settings.node_);
  info.incarnation_ = incarnation;
  info.vm_ = VmId(settings.vm_);
  info.data_centre_ = DataCentreId(settings.data_centre_);
  info.address_ = settings.listen_peers_;
  info.kind_ = ValueOf(kTargetKindNames, settings.target_kind_)
                   .value_or(TargetKind::kEngine);
  info.model_ = ModelId(settings.target_model_);
  info.version_ = settings.target_version_;
  info.memory_tokens_ = settings.target_memory_tokens_;
  info.prefill_tokens_per_second_ = settings.target_prefill_rate_;
  info.decode_tokens_per_second_ = settings.target_decode_rate_;
  info.max_streams_ = settings.target_max_streams_;
  return info;
}

}  // namespace

Process::Process(ProcessSettings settings)
    : settings_(std::move(settings)),
      self_(settings_.node_),
      incarnation_(static_cast<uint64_t>(WallMs())),
      events_(settings_.timeline_file_),
      loop_(self_, ControlLoopHooks{
                       [this](Envelope envelope) {
                         peers_->Send(std::move(envelope));
                       },
                       [this](const PeerAddress& address) {
                         peers_->SetAddress(address.peer_, address.address_);
                       },
                       [this](const Event& event) { events_.Write(event); },
                       [this]() { OnStopped(); }}),
      signals_(loop_.Context(), SIGTERM, SIGINT),
      announce_(loop_.Context()),
      grace_(loop_.Context()) {}

Process::~Process() = default;

uint64_t Process::Seed(Port port) const {
  return Hash(settings_.node_ + "/" + std::to_string(incarnation_.Value())) +
         static_cast<uint64_t>(port);
}

std::vector<NodeId> Process::ControlNodes() const {
  std::vector<NodeId> nodes;
  for (const ControlMember& member : settings_.ControlMembers()) {
    nodes.push_back(member.node_);
  }
  return nodes;
}

Result<void> Process::Open() {
  BOOST_OUTCOME_TRY(const auto key, ReadKeyFile(settings_.key_file_));
  peers_ = std::make_unique<PeerNetwork>(
      traffic_, PeerIdentity{self_, settings_.cluster_, key},
      [this](Envelope envelope) { OnPeerMessage(std::move(envelope)); });
  for (const ControlMember& member : settings_.ControlMembers()) {
    peers_->SetAddress(member.node_, member.address_);
  }
  if (settings_.HasRole("control")) {
    BOOST_OUTCOME_TRY(OpenControl());
  }
  if (settings_.HasRole("agent")) {
    OpenAgent();
  }
  if (settings_.HasRole("entry")) {
    OpenEntry();
  }
  BOOST_OUTCOME_TRY(peers_->Listen(settings_.listen_peers_));
  return OpenListeners();
}

Result<void> Process::OpenControl() {
  BOOST_OUTCOME_TRY(operator_keys_,
                    OperatorKeys::Load(settings_.operator_key_file_));
  BOOST_OUTCOME_TRY(auto loaded,
                    FileDisk::Open(settings_.data_folder_, settings_.cluster_,
                                   self_, settings_.bootstrap_));
  disk_ = std::move(loaded.disk_);
  ReplicaSettings replica;
  replica.self_ = self_;
  replica.initial_members_ = ControlNodes();
  replica.seed_ = Seed(Port::kControl);
  const TraceHeader header = ControlTraceHeader(replica, loaded.replica_);
  control_ = std::make_unique<ControlCore>(
      self_, ReplicaCore(std::move(replica), std::move(loaded.replica_)));
  disk_->Start([this](Message message) {
    loop_.PostLocal(Port::kDisk, Port::kControl, std::move(message));
  });
  loop_.AddDevice(Port::kDisk, [this](Envelope envelope) {
    disk_->Submit(std::move(envelope));
  });
  operators_ = std::make_unique<OperatorRpc>(
      [this](OperatorCall call) {
        loop_.PostLocal(Port::kOperator, Port::kControl, std::move(call));
      },
      kOperatorTimeout);
  loop_.AddDevice(Port::kOperator, [this](Envelope envelope) {
    if (auto* reply = std::get_if<OperatorReply>(&envelope.body_)) {
      operators_->OnReply(std::move(*reply));
    }
  });
  loop_.AddCore(
      Port::kControl, kControlStopOrder,
      [this](TimePoint now, const Envelope& in, Outbox& out) {
        control_->OnMessage(now, in, out);
      },
      MakeRecorder(header));
  return success();
}

template <class CoreSettings>
void Process::SetPlace(CoreSettings& core) const {
  core.self_ = self_;
  core.incarnation_ = incarnation_;
  core.vm_ = VmId(settings_.vm_);
  core.data_centre_ = DataCentreId(settings_.data_centre_);
  core.address_ = settings_.listen_peers_;
  core.control_nodes_ = ControlNodes();
}

void Process::OpenAgent() {
  AgentSettings agent;
  SetPlace(agent);
  agent.target_ = AnnouncedTarget(settings_, incarnation_);
  agent.target_checks_fencing_ = settings_.target_checks_fencing_;
  TargetDriverSettings driver;
  driver.address_ = settings_.target_address_;
  driver.kind_ = agent.target_.kind_;
  const TraceHeader header = AgentTraceHeader(agent, Seed(Port::kAgent));
  agent_ = std::make_unique<AgentCore>(std::move(agent), Seed(Port::kAgent));
  driver_ =
      std::make_unique<TargetDriver>(traffic_, driver, [this](Message message) {
        loop_.PostLocal(Port::kTarget, Port::kAgent, std::move(message));
      });
  loop_.AddDevice(Port::kTarget, [this](Envelope envelope) {
    driver_->Submit(std::move(envelope.body_));
  });
  loop_.AddCore(
      Port::kAgent, kAgentStopOrder,
      [this](TimePoint now, const Envelope& in, Outbox& out) {
        agent_->OnMessage(now, in, out);
      },
      MakeRecorder(header));
}

void Process::OpenEntry() {
  EntrySettings entry;
  SetPlace(entry);
  const TraceHeader header = EntryTraceHeader(entry, Seed(Port::kEntry));
  entry_ = std::make_unique<EntryCore>(entry, Seed(Port::kEntry));
  loop_.AddDevice(Port::kCaller, [this](const Envelope& envelope) {
    for (const auto& listener : listeners_) {
      listener->Deliver(envelope.body_);
    }
  });
  loop_.AddCore(
      Port::kEntry, kEntryStopOrder,
      [this](TimePoint now, const Envelope& in, Outbox& out) {
        entry_->OnMessage(now, in, out);
      },
      MakeRecorder(header));
  loop_.AfterTick(
      [this]() { entry_ready_ = entry_->GetSession().HasLease(SteadyNow()); });
}

Result<void> Process::OpenListeners() {
  const bool entry = settings_.HasRole("entry");
  const bool control = settings_.HasRole("control");
  if (!settings_.listen_callers_.empty()) {
    BOOST_OUTCOME_TRY(OpenListener(settings_.listen_callers_, entry, false));
  }
  if (!settings_.listen_operators_.empty()) {
    BOOST_OUTCOME_TRY(
        OpenListener(settings_.listen_operators_, false, control));
  }
  return success();
}

Result<void> Process::OpenListener(const std::string& address, bool callers,
                                   bool operators) {
  CallerHooks hooks;
  if (callers) {
    hooks.submit_ = [this](Message message) {
      loop_.PostLocal(Port::kCaller, Port::kEntry, std::move(message));
    };
  }
  hooks.ready_ = [this]() {
    return !stopping_ && (entry_ == nullptr || entry_ready_);
  };
  hooks.metrics_ = [this]() { return events_.MetricsText(); };
  if (operators) {
    hooks.operator_call_ = [this](const HttpRequest& request) {
      return AnswerOperator(request);
    };
  }
  CallerListenerSettings listener;
  listener.address_ = address;
  listener.bounds_.default_deadline_ = Duration(settings_.default_deadline_ms_);
  listener.bounds_.max_deadline_ = Duration(settings_.max_deadline_ms_);
  listener.max_body_bytes_ = static_cast<uint64_t>(settings_.max_body_bytes_);
  listener.max_header_bytes_ =
      static_cast<uint32_t>(settings_.max_header_bytes_);
  listener.idle_timeout_ = Duration(settings_.idle_timeout_ms_);
  listener.request_prefix_ = static_cast<uint32_t>(Seed(Port::kCaller));
  listeners_.push_back(
      std::make_unique<CallerListener>(traffic_, listener, std::move(hooks)));
  return listeners_.back()->Listen();
}

HttpReply Process::AnswerOperator(const HttpRequest& request) {
  constexpr std::string_view kBearer = "Bearer ";
  const auto header = request[boost::beast::http::field::authorization];
  const std::string_view text(header.data(), header.size());
  const auto name =
      text.substr(0, kBearer.size()) == kBearer
          ? operator_keys_.FindOperator(text.substr(kBearer.size()))
          : std::nullopt;
  if (!name) {
    return MakeReply(kUnauthorized, "text/plain", "unknown operator key\n");
  }
  return MakeReply(200, "application/json",
                   operators_->Handle(request.body(), *name));
}

void Process::OnPeerMessage(Envelope envelope) {
  loop_.Post(std::move(envelope));
}

ControlLoop::Recorder Process::MakeRecorder(const TraceHeader& header) {
  if (settings_.trace_folder_.empty()) {
    return nullptr;
  }
  const std::string path = settings_.trace_folder_ + "/" + settings_.node_ +
                           "-" + header.role_ + ".trace";
  auto writer = std::make_shared<TraceWriter>(path, header);
  return [writer](TimePoint now, const Envelope& input,
                  const std::vector<Envelope>& actions) {
    writer->Input(now, input);
    writer->Actions(actions);
  };
}

void Process::RecordProcessEvent(EventId id, const std::string& detail) {
  Event event;
  event.id_ = id;
  event.node_ = self_;
  event.hlc_ = HlcTime{WallMs(), 0};
  event.detail_ = detail;
  events_.Write(event);
}

void Process::WaitForSignals() {
  signals_.async_wait([this](boost::system::error_code error, int number) {
    if (error) {
      return;
    }
    RequestStop("signal " + std::to_string(number));
    signals_.async_wait([this](boost::system::error_code second, int) {
      if (!second) {
        loop_.Finish();
      }
    });
  });
}

void Process::RequestStop(const std::string& reason) {
  if (stopping_.exchange(true)) {
    return;
  }
  asio::post(loop_.Context(), [this, reason]() {
    const int64_t announce_ms =
        entry_ == nullptr ? 0 : settings_.stop_announce_ms_;
    announce_.expires_after(std::chrono::milliseconds(announce_ms));
    announce_.async_wait([this, reason](boost::system::error_code error) {
      if (!error) {
        loop_.RequestStop(reason);
      }
    });
    grace_.expires_after(
        std::chrono::milliseconds(announce_ms + settings_.stop_grace_ms_));
    grace_.async_wait([this](boost::system::error_code late) {
      if (!late) {
        RecordProcessEvent(EventId::kProcessStopped, "the grace time ran out");
        loop_.Finish();
      }
    });
  });
}

void Process::OnStopped() {
  for (const auto& listener : listeners_) {
    listener->StopAccepting();
  }
  grace_.expires_after(kFlushTime);
  grace_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      RecordProcessEvent(EventId::kProcessStopped, "");
      loop_.Finish();
    }
  });
}

void Process::Run() {
  std::string roles;
  for (const std::string& role : settings_.roles_) {
    roles += roles.empty() ? role : "," + role;
  }
  RecordProcessEvent(EventId::kProcessStarted, roles);
  WaitForSignals();
  auto work = asio::make_work_guard(traffic_);
  std::vector<std::thread> threads;
  for (int64_t i = 0; i < settings_.traffic_threads_; ++i) {
    threads.emplace_back([this]() { traffic_.run(); });
  }
  loop_.Run();
  peers_->Close();
  traffic_.stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
  driver_.reset();
  disk_.reset();
}

}  // namespace gv

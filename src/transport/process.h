/** @file process.h Joins cores, devices and listeners by the roles of a
 * process. */
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "coordination/agent_core.h"
#include "coordination/control_core.h"
#include "coordination/entry_core.h"
#include "coordination/replay_trace.h"
#include "state/process_settings.h"
#include "transport/caller_listener.h"
#include "transport/control_loop.h"
#include "transport/event_sink.h"
#include "transport/file_disk.h"
#include "transport/operator_listener.h"
#include "transport/peer_network.h"
#include "transport/target_driver.h"

namespace gv {

/** A process. Thread safety: Open and Run are called on the main thread. */
class Process {
 public:
  explicit Process(ProcessSettings settings);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /** Reads keys, opens the data folder and listens. @return What failed, if
   * something did. */
  Result<void> Open();
  /** Runs until a planned stop ends. @pre Open succeeded. */
  void Run();
  /** Begins a planned stop: the entry is not ready at once, and the cores are
   * asked to stop after stop.announce_ms. Thread safety: any thread. */
  void RequestStop(const std::string& reason);

 private:
  Result<void> OpenControl();
  void OpenAgent();
  void OpenEntry();
  Result<void> OpenListeners();
  Result<void> OpenListener(const std::string& address, bool callers,
                            bool operators);
  HttpReply AnswerOperator(const HttpRequest& request);
  void OnPeerMessage(Envelope envelope);
  void RecordProcessEvent(EventId id, const std::string& detail);
  void WaitForSignals();
  void OnStopped();
  ControlLoop::Recorder MakeRecorder(const TraceHeader& header);
  uint64_t Seed(Port port) const;
  /** Sets the fields that the settings of entry and agent cores share. */
  template <class CoreSettings>
  void SetPlace(CoreSettings& core) const;
  std::vector<NodeId> ControlNodes() const;

  ProcessSettings settings_;              ///< Never changed after construction.
  NodeId self_;                           ///< This process.
  Incarnation incarnation_;               ///< Of this start.
  EventSink events_;                      ///< Time line, log, metrics.
  boost::asio::io_context traffic_;       ///< Runs traffic threads.
  ControlLoop loop_;                      ///< Runs the control thread.
  std::unique_ptr<PeerNetwork> peers_;    ///< To other processes.
  std::unique_ptr<FileDisk> disk_;        ///< Control role.
  std::unique_ptr<ControlCore> control_;  ///< Control role.
  std::unique_ptr<OperatorRpc> operators_;                  ///< Control role.
  OperatorKeys operator_keys_;                              ///< Control role.
  std::unique_ptr<AgentCore> agent_;                        ///< Agent role.
  std::unique_ptr<TargetDriver> driver_;                    ///< Agent role.
  std::unique_ptr<EntryCore> entry_;                        ///< Entry role.
  std::vector<std::unique_ptr<CallerListener>> listeners_;  ///< HTTP servers.
  std::atomic<bool> stopping_{false};     ///< A planned stop began.
  std::atomic<bool> entry_ready_{false};  ///< The entry holds a settings lease.
  boost::asio::signal_set signals_;       ///< SIGTERM and SIGINT.
  boost::asio::steady_timer announce_;  ///< Before the cores are asked to stop.
  boost::asio::steady_timer grace_;     ///< Bounds a planned stop.
};

}  // namespace gv

/** @file control_loop.h The one thread that owns all control state of a
 * process. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "protocol/outbox.h"
#include "state/timeline_clock.h"

namespace gv {

/** What the loop needs from its process. */
struct ControlLoopHooks {
  std::function<void(Envelope)>
      send_to_peer_;  ///< For messages to other processes.
  std::function<void(const PeerAddress&)>
      set_address_;                           ///< A core learnt an address.
  std::function<void(const Event&)> record_;  ///< For events.
  std::function<void()> stopped_;  ///< All cores finished a planned stop.
};

/**
 * Feeds messages to cores one at a time and carries out their actions.
 * Thread safety: Post and RequestStop may be called on any thread; cores run on
 * the thread that runs the io_context, and only there.
 */
class ControlLoop {
 public:
  using Handler = std::function<void(TimePoint, const Envelope&, Outbox&)>;
  using Device = std::function<void(Envelope)>;
  /** Sees each input of a core, and then its actions. */
  using Recorder = std::function<void(TimePoint, const Envelope&,
                                      const std::vector<Envelope>&)>;

  ControlLoop(NodeId self, ControlLoopHooks hooks);

  /**
   * Adds a core. @param stop_order Cores with a smaller number finish a planned
   * stop first.
   * @pre Run was not called.
   */
  void AddCore(Port port, int stop_order, Handler handler, Recorder recorder);
  /** Adds a local device. @pre Run was not called. */
  void AddDevice(Port port, Device device);
  /** Adds a function that runs on the control thread after each tick. @pre Run
   * was not called. */
  void AfterTick(std::function<void()> function);
  /** Hands in a message from a peer or a device. */
  void Post(Envelope envelope);
  /** Hands in a message from a local device to a core of this process. */
  void PostLocal(Port from, Port to, Message body);
  /** Begins a planned stop. */
  void RequestStop(const std::string& reason);
  /** Runs until Finish. Call on the control thread. */
  void Run();
  /** Ends Run. */
  void Finish();
  boost::asio::io_context& Context() { return io_; }

 private:
  /** One core and how it takes part in a planned stop. */
  struct HostedCore {
    Port port_;           ///< Its port.
    int stop_order_;      ///< Smaller ones stop first.
    Handler handler_;     ///< Its OnMessage.
    Recorder recorder_;   ///< May be empty.
    bool asked_ = false;  ///< It got a StopRequest.
    bool ready_ = false;  ///< It answered with StopReady.
  };

  void Step(HostedCore& core, const Envelope& in);
  void Route(Envelope envelope);
  void RouteLocal(const Envelope& envelope);
  void OnTransportMessage(const Envelope& envelope);
  void Broadcast(const Message& body);
  void RecordEvents(Outbox& out);
  void ScheduleTick();
  void ContinueStop();
  HostedCore* FindCore(Port port);

  NodeId self_;                     ///< This process.
  ControlLoopHooks hooks_;          ///< To the process.
  boost::asio::io_context io_;      ///< Runs the control thread.
  boost::asio::steady_timer tick_;  ///< Next tick.
  std::vector<HostedCore> cores_;   ///< All cores, never resized after Run.
  std::map<Port, Device> devices_;  ///< Local devices.
  std::vector<std::function<void()>> after_tick_;  ///< Run after each tick.
  HybridClock clock_;      ///< Stamps messages and events.
  bool stopping_ = false;  ///< A planned stop began.
  bool stopped_ = false;   ///< All cores are ready.
};

}  // namespace gv

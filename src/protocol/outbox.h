/** @file outbox.h Collects what a core wants done: messages to send and events
 * to record. */
#pragma once

#include <concepts>
#include <utility>
#include <vector>

#include "protocol/message.h"
#include "state/event_type.h"

namespace gv {

/** One message to several endpoints. */
struct Broadcast {
  std::vector<Endpoint> to_;  ///< Receivers.
  Message body_;              ///< What they get.
};

/**
 * The output of one step of a core. The process, a scenario or a replay carries
 * it out. Thread safety: owned by the control thread.
 */
class Outbox {
 public:
  /** @param self The endpoint of the core whose output this is. */
  explicit Outbox(Endpoint self) : self_(std::move(self)) {}

  /** Queues a message to any endpoint. */
  void Send(Endpoint to, Message body) {
    sent_.push_back(Envelope{self_, std::move(to), HlcTime{}, std::move(body)});
  }

  /** Queues one message to several endpoints, so that it can be encoded once.
   */
  void SendToAll(std::vector<Endpoint> to, Message body) {
    if (!to.empty()) {
      to_all_.push_back(Broadcast{std::move(to), std::move(body)});
    }
  }

  /** Queues a message to another part of the same process. */
  void SendLocal(Port port, Message body) {
    Send(Endpoint{self_.node_, port}, std::move(body));
  }

  /** Queues an event; node and time are filled in by the process. */
  void Record(Event event) { events_.push_back(std::move(event)); }

  const Endpoint& Self() const { return self_; }
  const std::vector<Envelope>& Sent() const { return sent_; }
  /** @return Messages to several endpoints, leaving none. */
  std::vector<Broadcast> TakeBroadcasts() { return std::exchange(to_all_, {}); }
  const std::vector<Event>& Events() const { return events_; }
  /** @return All queued messages, leaving none; those to several endpoints that
   * were not taken before stand at the end, one for each. */
  std::vector<Envelope> TakeSent() {
    for (const Broadcast& item : TakeBroadcasts()) {
      for (const Endpoint& to : item.to_) {
        Send(to, item.body_);
      }
    }
    return std::exchange(sent_, {});
  }
  /** @return All queued events, leaving none. */
  std::vector<Event> TakeEvents() { return std::exchange(events_, {}); }

 private:
  Endpoint self_;                  ///< Sender of all messages.
  std::vector<Envelope> sent_;     ///< In order.
  std::vector<Broadcast> to_all_;  ///< In order.
  std::vector<Event> events_;      ///< In order.
};

/**
 * A pure state machine: time and messages come in, actions go out through the
 * outbox. It reads no clock, no file and no random source other than a seed
 * given to its constructor. Tick arrives as a message at least every 10 ms of
 * its process's time.
 */
template <class T>
concept Core = requires(T core, TimePoint now, const Envelope& in,
                        Outbox& out) {
  { core.OnMessage(now, in, out) } -> std::same_as<void>;
};

}  // namespace gv

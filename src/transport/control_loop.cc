/** @file control_loop.cc Feeds cores and carries out their actions. */
#include "transport/control_loop.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kTickPeriod{10};

}  // namespace

ControlLoop::ControlLoop(NodeId self, ControlLoopHooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)), tick_(io_) {}

void ControlLoop::AddCore(Port port, int stop_order, Handler handler,
                          Recorder recorder) {
  cores_.push_back(HostedCore{port, stop_order, std::move(handler),
                              std::move(recorder), false, false});
}

void ControlLoop::AddDevice(Port port, Device device) {
  devices_[port] = std::move(device);
}

void ControlLoop::AfterTick(std::function<void()> function) {
  after_tick_.push_back(std::move(function));
}

void ControlLoop::Post(Envelope envelope) {
  asio::post(io_, [this, envelope = std::move(envelope)]() mutable {
    clock_.Merge(envelope.hlc_, WallMs());
    RouteLocal(envelope);
  });
}

void ControlLoop::PostLocal(Port from, Port to, Message body) {
  Post(Envelope{{self_, from}, {self_, to}, HlcTime{}, std::move(body)});
}

void ControlLoop::Route(Envelope envelope) {
  envelope.hlc_ = clock_.Next(WallMs());
  if (envelope.to_.node_ != self_) {
    hooks_.send_to_peer_(std::move(envelope));
    return;
  }
  const auto device = devices_.find(envelope.to_.port_);
  if (device != devices_.end()) {
    device->second(std::move(envelope));
  } else if (envelope.to_.port_ == Port::kTransport) {
    OnTransportMessage(envelope);
  } else {
    Post(std::move(envelope));
  }
}

void ControlLoop::RouteLocal(const Envelope& envelope) {
  if (std::holds_alternative<PeerDown>(envelope.body_)) {
    Broadcast(envelope.body_);
    return;
  }
  if (HostedCore* core = FindCore(envelope.to_.port_)) {
    Step(*core, envelope);
  }
}

void ControlLoop::Step(HostedCore& core, const Envelope& in) {
  Outbox out(Endpoint{self_, core.port_});
  const TimePoint now = SteadyNow();
  core.handler_(now, in, out);
  if (core.recorder_) {
    core.recorder_(now, in, out.Sent());
  }
  RecordEvents(out);
  for (Envelope& envelope : out.TakeSent()) {
    Route(std::move(envelope));
  }
}

void ControlLoop::RecordEvents(Outbox& out) {
  for (Event& event : out.TakeEvents()) {
    event.node_ = self_;
    event.hlc_ = clock_.Next(WallMs());
    hooks_.record_(event);
  }
}

void ControlLoop::OnTransportMessage(const Envelope& envelope) {
  if (const auto* address = std::get_if<PeerAddress>(&envelope.body_)) {
    hooks_.set_address_(*address);
  } else if (std::holds_alternative<StopReady>(envelope.body_)) {
    if (HostedCore* core = FindCore(envelope.from_.port_)) {
      core->ready_ = true;
      asio::post(io_, [this]() { ContinueStop(); });
    }
  }
}

void ControlLoop::Broadcast(const Message& body) {
  const Endpoint transport{self_, Port::kTransport};
  for (HostedCore& core : cores_) {
    Step(core,
         Envelope{transport, Endpoint{self_, core.port_}, HlcTime{}, body});
  }
}

void ControlLoop::RequestStop(const std::string& reason) {
  asio::post(io_, [this, reason]() {
    if (stopping_) {
      return;
    }
    stopping_ = true;
    Event event;
    event.id_ = EventId::kProcessStopping;
    event.node_ = self_;
    event.hlc_ = clock_.Next(WallMs());
    event.detail_ = reason;
    hooks_.record_(event);
    ContinueStop();
  });
}

void ControlLoop::ContinueStop() {
  if (!stopping_ || stopped_) {
    return;
  }
  const HostedCore* next = nullptr;
  for (const HostedCore& core : cores_) {
    if (!core.ready_ &&
        (next == nullptr || core.stop_order_ < next->stop_order_)) {
      next = &core;
    }
  }
  if (next == nullptr) {
    stopped_ = true;
    hooks_.stopped_();
    return;
  }
  const int order = next->stop_order_;
  for (HostedCore& core : cores_) {
    if (core.stop_order_ == order && !core.asked_) {
      core.asked_ = true;
      const Endpoint transport{self_, Port::kTransport};
      Step(core, Envelope{transport, Endpoint{self_, core.port_}, HlcTime{},
                          StopRequest{}});
    }
  }
}

void ControlLoop::ScheduleTick() {
  tick_.expires_after(kTickPeriod);
  tick_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    Broadcast(Tick{});
    for (const auto& function : after_tick_) {
      function();
    }
    ScheduleTick();
  });
}

void ControlLoop::Run() {
  ScheduleTick();
  io_.run();
}

void ControlLoop::Finish() { io_.stop(); }

ControlLoop::HostedCore* ControlLoop::FindCore(Port port) {
  const auto found = std::find_if(
      cores_.begin(), cores_.end(),
      [port](const HostedCore& core) { return core.port_ == port; });
  return found == cores_.end() ? nullptr : &*found;
}

}  // namespace gv

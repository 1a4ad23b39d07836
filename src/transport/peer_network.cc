/** @file peer_network.cc Finds or opens the connection for each envelope. */
#include "transport/peer_network.h"

#include <boost/asio/strand.hpp>
#include <boost/outcome/try.hpp>
#include <chrono>
#include <utility>

#include "protocol/codec.h"
#include "transport/listen.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;

constexpr Duration kRedialDelay(200);
constexpr size_t kMaxWaiting = 4096;
/** Pause after a failed accept. */
constexpr std::chrono::milliseconds kAcceptPause{50};

}  // namespace

PeerNetwork::PeerNetwork(asio::io_context& traffic, PeerIdentity identity,
                         std::function<void(Envelope)> deliver,
                         size_t most_queued_bytes, size_t most_unproven)
    : traffic_(traffic),
      identity_(std::move(identity)),
      deliver_(std::move(deliver)),
      most_queued_bytes_(most_queued_bytes),
      most_unproven_(most_unproven),
      acceptor_(traffic),
      accept_again_(traffic) {}

Result<void> PeerNetwork::Listen(const std::string& address) {
  BOOST_OUTCOME_TRY(OpenAcceptor(acceptor_, address));
  Accept();
  return boost::outcome_v2::success();
}

void PeerNetwork::Accept() {
  acceptor_.async_accept(
      asio::make_strand(traffic_),
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (error) {
          const std::lock_guard lock(mutex_);
          if (closing_) {
            return;
          }
          ++unproven_closed_;
          accept_again_.expires_after(kAcceptPause);
          accept_again_.async_wait([this](boost::system::error_code stopped) {
            if (!stopped) {
              Accept();
            }
          });
          return;
        }
        OnAccepted(std::move(socket));
        Accept();
      });
}

void PeerNetwork::OnAccepted(asio::ip::tcp::socket socket) {
  const auto session = std::make_shared<PeerSession>(
      std::move(socket), identity_, most_queued_bytes_, MakeCallbacks());
  std::shared_ptr<PeerSession> oldest;
  {
    const std::lock_guard lock(mutex_);
    unproven_.push_back(session);
    if (unproven_.size() > most_unproven_) {
      oldest = unproven_.front();
      unproven_.pop_front();
      ++unproven_closed_;
    }
  }
  // A handshake takes a few round trips; the one that has lasted longest is the
  // least likely to end in a proof.
  if (oldest != nullptr) {
    oldest->Close();
  }
  session->StartAccepted();
}

uint64_t PeerNetwork::TakeUnprovenClosed() {
  const std::lock_guard lock(mutex_);
  return std::exchange(unproven_closed_, 0);
}

PeerSession::Callbacks PeerNetwork::MakeCallbacks() {
  return PeerSession::Callbacks{
      [this](const std::shared_ptr<PeerSession>& session) { OnReady(session); },
      [this](Envelope envelope) { deliver_(std::move(envelope)); },
      [this](const std::shared_ptr<PeerSession>& session) {
        OnClosed(session);
      }};
}

void PeerNetwork::SetAddress(const NodeId& peer, const std::string& address) {
  const std::lock_guard lock(mutex_);
  Peer& entry = peers_[peer];
  if (entry.address_ != address) {
    entry.address_ = address;
    entry.next_dial_ = TimePoint();
  }
}

void PeerNetwork::Send(Envelope envelope) {
  const std::lock_guard lock(mutex_);
  const NodeId node = envelope.to_.node_;
  SendItem(node, PeerItem{std::move(envelope), nullptr});
}

void PeerNetwork::SendToAll(const Endpoint& from,
                            const std::vector<Endpoint>& to,
                            const Message& body) {
  const std::lock_guard lock(mutex_);
  // All receivers get the same bytes; nobody reads the receiver's name.
  const auto frame = std::make_shared<const std::string>(MakeFrame(
      EncodeEnvelope(Envelope{from, {NodeId(), from.port_}, {}, body})));
  for (const Endpoint& receiver : to) {
    SendItem(receiver.node_, PeerItem{Envelope{}, frame});
  }
}

void PeerNetwork::SendItem(const NodeId& node, PeerItem item) {
  if (closing_) {
    return;
  }
  const auto found = peers_.find(node);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  if (peer.session_ != nullptr) {
    peer.session_->Send(std::move(item));
    return;
  }
  if (peer.address_.empty() || peer.waiting_.size() >= kMaxWaiting) {
    return;
  }
  if (peer.dialling_ == nullptr) {
    if (SteadyNow() < peer.next_dial_) {
      return;
    }
    Dial(node, peer);
  }
  peer.waiting_.push_back(std::move(item));
}

void PeerNetwork::Dial(const NodeId& node, Peer& peer) {
  asio::ip::tcp::socket socket(asio::make_strand(traffic_));
  peer.dialling_ = std::make_shared<PeerSession>(
      std::move(socket), identity_, most_queued_bytes_, MakeCallbacks());
  peer.dialling_->StartDialled(peer.address_, node);
}

void PeerNetwork::OnReady(const std::shared_ptr<PeerSession>& session) {
  const std::lock_guard lock(mutex_);
  unproven_.remove(session);
  Peer& peer = peers_[session->Peer()];
  peer.session_ = session;
  if (peer.dialling_ == session) {
    peer.dialling_ = nullptr;
  }
  for (PeerItem& item : peer.waiting_) {
    session->Send(std::move(item));
  }
  peer.waiting_.clear();
}

void PeerNetwork::OnClosed(const std::shared_ptr<PeerSession>& session) {
  bool down = false;
  const NodeId node = session->Peer();
  {
    const std::lock_guard lock(mutex_);
    unproven_.remove(session);
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
      return;
    }
    Peer& peer = found->second;
    if (peer.session_ == session) {
      peer.session_ = nullptr;
      down = true;
    }
    if (peer.dialling_ == session) {
      peer.dialling_ = nullptr;
      peer.waiting_.clear();
      peer.next_dial_ = SteadyNow() + kRedialDelay;
      down = down || peer.session_ == nullptr;
    }
    down = down && !closing_;
  }
  if (down) {
    const Endpoint self{identity_.self_, Port::kTransport};
    deliver_(Envelope{self, self, HlcTime{}, PeerDown{node}});
  }
}

void PeerNetwork::DropSilent(Duration silence) {
  std::vector<std::shared_ptr<PeerSession>> silent;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [node, peer] : peers_) {
      if (peer.session_ != nullptr &&
          SteadyNow() - peer.session_->HeardAt() > silence) {
        silent.push_back(peer.session_);
      }
    }
  }
  for (const auto& session : silent) {
    session->Close();
  }
}

void PeerNetwork::Close() {
  std::map<NodeId, Peer> peers;
  std::list<std::shared_ptr<PeerSession>> unproven;
  {
    const std::lock_guard lock(mutex_);
    closing_ = true;
    peers.swap(peers_);
    unproven.swap(unproven_);
    accept_again_.cancel();
  }
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& session : unproven) {
    session->Close();
  }
  for (auto& [node, peer] : peers) {
    if (peer.session_ != nullptr) {
      peer.session_->Close();
    }
    if (peer.dialling_ != nullptr) {
      peer.dialling_->Close();
    }
  }
}

}  // namespace gv

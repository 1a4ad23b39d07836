/** @file peer_network.h Connections to all other processes, opened on demand.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "state/clock_type.h"
#include "transport/peer_session.h"

namespace gv {

/** Bytes that may be queued for one peer, where memory is not scarce. */
inline constexpr size_t kMostQueuedBytes = 256UL << 20;
/** Accepted connections whose other end has not yet proven that it is a peer,
 * where descriptors are not scarce. */
inline constexpr size_t kMostUnproven = 1024;

/**
 * Sends envelopes to peers by name. Messages may be lost when a connection
 * breaks; that is reported by a PeerDown. A peer whose address is unknown gets
 * messages only over a connection it opened. Thread safety: all public methods
 * may be called on any thread.
 */
class PeerNetwork {
 public:
  /** @param deliver Called on traffic threads with each message from a peer.
   * @param most_queued_bytes Bound of what is not yet sent to one peer.
   * @param most_unproven Accepted connections without a proof; beyond, the one
   * accepted first is closed. */
  PeerNetwork(boost::asio::io_context& traffic, PeerIdentity identity,
              std::function<void(Envelope)> deliver,
              size_t most_queued_bytes = kMostQueuedBytes,
              size_t most_unproven = kMostUnproven);

  /** Listens on "IP:port". @return Nothing, or Reason::kConnectionLost with the
   * address. */
  Result<void> Listen(const std::string& address);
  /** Sets where a peer can be reached. */
  void SetAddress(const NodeId& peer, const std::string& address);
  /** Sends to envelope.to_.node_, or drops the envelope if the peer cannot be
   * reached. */
  void Send(Envelope envelope);
  /** Sends one message, which is encoded once, to several peers. */
  void SendToAll(const Endpoint& from, const std::vector<Endpoint>& to,
                 const Message& body);
  /** Closes sessions whose peer has sent nothing for @p silence; for processes
   * that hear from each peer more often than that. @note Only where one thread
   * runs all connections. */
  void DropSilent(Duration silence);
  /** @return Connections without a proof that were closed in favour of others,
   * and accepts that failed, since the last call. */
  uint64_t TakeUnprovenClosed();
  /** Closes everything. */
  void Close();

 private:
  /** What is known of one peer. */
  struct Peer {
    std::string address_;                    ///< "IP:port", or empty.
    std::shared_ptr<PeerSession> session_;   ///< Ready to use, or null.
    std::shared_ptr<PeerSession> dialling_;  ///< Being opened, or null.
    std::deque<PeerItem> waiting_;           ///< Until dialling_ is ready.
    TimePoint next_dial_;                    ///< Not before this time.
  };

  void SendItem(const NodeId& node, PeerItem item);
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void Dial(const NodeId& node, Peer& peer);
  void OnReady(const std::shared_ptr<PeerSession>& session);
  void OnClosed(const std::shared_ptr<PeerSession>& session);
  PeerSession::Callbacks MakeCallbacks();

  boost::asio::io_context& traffic_;         ///< Runs all connections.
  PeerIdentity identity_;                    ///< This process.
  std::function<void(Envelope)> deliver_;    ///< To the runtime.
  size_t most_queued_bytes_;                 ///< For one peer.
  size_t most_unproven_;                     ///< Size of unproven_.
  boost::asio::ip::tcp::acceptor acceptor_;  ///< For incoming connections.
  boost::asio::steady_timer accept_again_;   ///< After a failed accept.
  std::mutex mutex_;                         ///< Guards the members below.
  std::map<NodeId, Peer> peers_;             ///< By name.
  /** Accepted, without a proof yet, in this order. */
  std::list<std::shared_ptr<PeerSession>> unproven_;
  uint64_t unproven_closed_ = 0;  ///< Since it was last taken.
  bool closing_ = false;          ///< True after Close.
};

}  // namespace gv

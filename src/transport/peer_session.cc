/** @file peer_session.cc Handshake, framing and writing of one connection. */
#include "transport/peer_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "protocol/codec.h"
#include "state/process_settings.h"
#include "transport/frame_compression.h"
#include "transport/secret.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr size_t kMaxFrameBytes = 64UL << 20;
/** In the first byte of a frame's length: the payload is compressed. */
constexpr unsigned char kPackedBit = 0x80;
constexpr size_t kMaxHelloBytes = 4096;
constexpr size_t kEnvelopeOverheadBytes = 256;
/** Length of a frame, before its payload. */
constexpr size_t kHeadBytes = 4;
/** Bytes of one read; holds the frames of several wake-ups. */
constexpr size_t kReadBytes = 16UL << 10;
/** Frames that are written together. */
constexpr size_t kBatchBytes = 256UL << 10;
/** A few round trips within a region, on a busy VM; connections into a
 * partition must not hang for longer than a peer may be missed. */
constexpr std::chrono::milliseconds kHandshakeTimeout{1500};

/** @return An estimate of the size of a message on the wire, in bytes. */
size_t EstimateBytes(const PeerItem& item) {
  if (item.frame_) {
    return item.frame_->size();
  }
  const Envelope& envelope = item.envelope_;
  if (const auto* dispatch = std::get_if<Dispatch>(&envelope.body_)) {
    return kEnvelopeOverheadBytes + dispatch->spec_.body_.size() +
           dispatch->resume_text_.size();
  }
  if (const auto* push = std::get_if<ConfigurationPush>(&envelope.body_)) {
    return kEnvelopeOverheadBytes + push->text_.size();
  }
  if (const auto* append = std::get_if<AppendRequest>(&envelope.body_)) {
    size_t bytes = kEnvelopeOverheadBytes;
    for (const LogEntry& entry : append->entries_) {
      bytes += entry.payload_.size();
    }
    return bytes;
  }
  if (const auto* chunk = std::get_if<SnapshotChunk>(&envelope.body_)) {
    return kEnvelopeOverheadBytes + chunk->data_.size();
  }
  return kEnvelopeOverheadBytes;
}

/** The first frame of each end. */
struct Hello {
  std::string cluster_;  ///< Name of the sender's system.
  NodeId node_;          ///< Claimed name of the sender.
  std::string nonce_;    ///< To be proven by the receiver.
};

std::string HelloText(const PeerIdentity& identity, const std::string& nonce) {
  return json::array({identity.cluster_, identity.self_.Value(), nonce}).dump();
}

Hello ReadHello(const std::string& text) {
  const json parts = json::parse(text);
  return Hello{parts.at(0).get<std::string>(),
               NodeId(parts.at(1).get<std::string>()),
               parts.at(2).get<std::string>()};
}

void CheckHello(const Hello& hello, const PeerIdentity& identity,
                const NodeId& expected) {
  const bool as_expected = expected.IsNone() || hello.node_ == expected;
  if (hello.cluster_ != identity.cluster_ || !as_expected ||
      hello.node_.IsNone()) {
    throw std::runtime_error("another cluster or process");
  }
}

void CheckProof(const std::string& proof, const std::string& wanted) {
  if (!EqualInConstantTime(proof, wanted)) {
    throw std::runtime_error("wrong key");
  }
}

std::string Proof(const PeerIdentity& identity, const std::string& nonce,
                  const NodeId& prover, bool dialled) {
  const std::string text = identity.cluster_ + "|" + prover.Value() + "|" +
                           nonce + (dialled ? "|dialler" : "|acceptor");
  return HmacHex(identity.key_, text);
}

}  // namespace

std::string MakeFrame(std::string payload) {
  std::optional<std::string> packed = CompressFrame(payload);
  const unsigned char flag = packed ? kPackedBit : 0;
  if (packed) {
    payload = std::move(*packed);
  }
  const size_t length = payload.size();
  std::string frame;
  frame.reserve(kHeadBytes + length);
  frame.push_back(static_cast<char>(length >> 24 | flag));
  frame.push_back(static_cast<char>(length >> 16));
  frame.push_back(static_cast<char>(length >> 8));
  frame.push_back(static_cast<char>(length));
  frame += payload;
  return frame;
}

PeerSession::PeerSession(asio::ip::tcp::socket socket, PeerIdentity identity,
                         size_t most_queued_bytes, Callbacks callbacks)
    : socket_(std::move(socket)),
      handshake_(socket_.get_executor()),
      identity_(std::move(identity)),
      most_queued_bytes_(most_queued_bytes),
      callbacks_(std::move(callbacks)),
      heard_at_(SteadyNow()) {}

void PeerSession::StartAccepted() { Spawn(""); }

void PeerSession::StartDialled(const std::string& address, NodeId expected) {
  dialled_ = true;
  peer_ = std::move(expected);
  Spawn(address);
}

void PeerSession::Spawn(const std::string& address) {
  auto self = shared_from_this();
  asio::co_spawn(
      socket_.get_executor(),
      [self, address]() -> asio::awaitable<void> {
        co_await self->Run(address);
      },
      [self](const std::exception_ptr&) { self->CloseOnStrand(); });
}

asio::awaitable<void> PeerSession::Run(std::string address) {
  handshake_.expires_after(kHandshakeTimeout);
  handshake_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        auto self = weak.lock();
        if (self && !error && !self->trusted_) {
          self->CloseOnStrand();
        }
      });
  if (dialled_) {
    std::string ip;
    uint16_t port = 0;
    if (!SplitAddress(address, ip, port)) {
      throw std::runtime_error("bad address");
    }
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    co_await socket_.async_connect(endpoint, asio::use_awaitable);
  }
  socket_.set_option(asio::ip::tcp::no_delay(true));
  co_await Authenticate();
  if (closed_) {
    // The time limit ran out while the last bytes were read, as happens when a
    // frozen process wakes; the network has been told already.
    co_return;
  }
  trusted_ = true;
  handshake_.cancel();
  callbacks_.ready_(shared_from_this());
  StartWriting();
  co_await ReadLoop();
}

asio::awaitable<void> PeerSession::Authenticate() {
  const std::string nonce = RandomHex();
  co_await WriteFrame(HelloText(identity_, nonce));
  const std::string hello = co_await ReadFrame(kMaxHelloBytes);
  co_await WriteFrame(AnswerHello(hello));
  const std::string proof = co_await ReadFrame(kMaxHelloBytes);
  CheckProof(proof, Proof(identity_, nonce, peer_, !dialled_));
}

std::string PeerSession::AnswerHello(const std::string& text) {
  const Hello hello = ReadHello(text);
  CheckHello(hello, identity_, peer_);
  peer_ = hello.node_;
  return Proof(identity_, hello.nonce_, identity_.self_, dialled_);
}

asio::awaitable<void> PeerSession::ReadLoop() {
  for (;;) {
    const std::string frame = co_await ReadFrame(kMaxFrameBytes);
    Result<Envelope> envelope = DecodeEnvelope(frame);
    if (!envelope.has_value() || envelope.value().from_.node_ != peer_) {
      co_return;
    }
    callbacks_.deliver_(std::move(envelope.value()));
  }
}

asio::awaitable<void> PeerSession::ReadUntil(size_t bytes) {
  while (input_.size() < bytes) {
    const size_t held = input_.size();
    input_.resize(std::max(bytes, held + kReadBytes));
    const size_t read = co_await socket_.async_read_some(
        asio::buffer(input_.data() + held, input_.size() - held),
        asio::use_awaitable);
    input_.resize(held + read);
    heard_at_ = SteadyNow();
  }
}

asio::awaitable<std::string> PeerSession::ReadFrame(size_t max_bytes) {
  co_await ReadUntil(kHeadBytes);
  const auto byte = [this](size_t i) {
    return static_cast<size_t>(static_cast<unsigned char>(input_[i]));
  };
  const bool is_packed = (byte(0) & kPackedBit) != 0;
  const size_t length = ((byte(0) & ~size_t{kPackedBit}) << 24) |
                        (byte(1) << 16) | (byte(2) << 8) | byte(3);
  if (length > max_bytes) {
    throw std::runtime_error("frame too long");
  }
  co_await ReadUntil(kHeadBytes + length);
  std::string payload = input_.substr(kHeadBytes, length);
  input_.erase(0, kHeadBytes + length);
  if (is_packed) {
    std::optional<std::string> expanded = ExpandFrame(payload, max_bytes);
    if (!expanded) {
      throw std::runtime_error("damaged frame");
    }
    co_return std::move(*expanded);
  }
  co_return payload;
}

asio::awaitable<void> PeerSession::WriteFrame(std::string payload) {
  const std::string frame = MakeFrame(std::move(payload));
  co_await asio::async_write(socket_, asio::buffer(frame), asio::use_awaitable);
}

void PeerSession::Send(PeerItem item) {
  asio::dispatch(socket_.get_executor(),
                 [self = shared_from_this(), item = std::move(item)]() mutable {
                   if (self->closed_) {
                     return;
                   }
                   self->queued_bytes_ += EstimateBytes(item);
                   self->queue_.push_back(std::move(item));
                   if (self->queued_bytes_ > self->most_queued_bytes_) {
                     self->CloseOnStrand();
                     return;
                   }
                   self->StartWriting();
                 });
}

void PeerSession::StartWriting() {
  if (!trusted_ || writing_ || closed_ || queue_.empty()) {
    return;
  }
  writing_ = true;
  auto self = shared_from_this();
  asio::co_spawn(
      socket_.get_executor(),
      [self]() -> asio::awaitable<void> { co_await self->WriteLoop(); },
      [self](const std::exception_ptr& error) {
        self->writing_ = false;
        if (error) {
          self->CloseOnStrand();
        }
      });
}

asio::awaitable<void> PeerSession::WriteLoop() {
  while (!queue_.empty()) {
    std::string batch;
    while (!queue_.empty() && batch.size() < kBatchBytes) {
      const PeerItem item = std::move(queue_.front());
      queue_.pop_front();
      queued_bytes_ -= EstimateBytes(item);
      batch += item.frame_ ? *item.frame_
                           : MakeFrame(EncodeEnvelope(item.envelope_));
    }
    co_await asio::async_write(socket_, asio::buffer(batch),
                               asio::use_awaitable);
  }
  writing_ = false;
}

void PeerSession::Close() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()]() { self->CloseOnStrand(); });
}

void PeerSession::CloseOnStrand() {
  if (closed_) {
    return;
  }
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  handshake_.cancel();
  queue_.clear();
  // Send() may run here on the strand while the network that called it holds
  // its lock, which closed_ takes as well.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()]() { self->callbacks_.closed_(self); });
}

}  // namespace gv

/** @file listen.h Opens a listening socket. */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "state/verdict_type.h"

namespace gv {

/**
 * Listens on "IP:port".
 * @return Nothing, or a verdict that names the address. Thread safety: call
 * before anything else uses @p acceptor.
 */
Result<void> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                          const std::string& address);

}  // namespace gv

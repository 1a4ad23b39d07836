/** @file listen.cc Opens a listening socket. */
#include "transport/listen.h"

#include "state/process_settings.h"

namespace gv {

namespace asio = boost::asio;

Result<void> OpenAcceptor(asio::ip::tcp::acceptor& acceptor,
                          const std::string& address) {
  std::string ip;
  uint16_t port = 0;
  if (!SplitAddress(address, ip, port)) {
    return NotRun(Reason::kBadRequest, address + ": is no IP:port");
  }
  try {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
  } catch (const std::exception& error) {
    return NotRun(Reason::kConnectionLost, address + ": " + error.what());
  }
  return boost::outcome_v2::success();
}

}  // namespace gv

/** @file read_head.h Reads the head of a request before it is parsed. */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "protocol/http_framing.h"

namespace gv {

/**
 * Reads until @p buffer begins with a whole head, or with more than @p most
 * bytes without its end, which the parser refuses.
 * @param on_bytes Called after each read.
 * @param error Set if a read failed.
 * @return What is wrong with the head.
 */
template <class Stream, class OnBytes>
boost::asio::awaitable<HeadFault> ReadHead(Stream& stream,
                                           boost::beast::flat_buffer& buffer,
                                           size_t most, OnBytes on_bytes,
                                           boost::system::error_code& error) {
  constexpr size_t kReadBytes = 2048;
  while (true) {
    const auto bytes = buffer.data();
    const HeadScan scan =
        ScanHead({static_cast<const char*>(bytes.data()), bytes.size()});
    if (scan.fault_ != HeadFault::kNone || scan.size_ > 0 ||
        bytes.size() > most) {
      co_return scan.fault_;
    }
    const size_t read = co_await stream.async_read_some(
        buffer.prepare(kReadBytes),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) {
      co_return HeadFault::kNone;
    }
    buffer.commit(read);
    on_bytes();
  }
}

}  // namespace gv

/** @file http_fields.h Messages of HTTP whose header fields count what they
 * hold. */
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "transport/counting_allocator.h"

namespace gv {

/** Header fields. Each takes some 80 bytes besides its text, so that a head of
 * many short fields takes far more memory than its length on the wire. */
using HttpFields = boost::beast::http::basic_fields<CountingAllocator<char>>;
using CountedRequest =
    boost::beast::http::request<boost::beast::http::string_body, HttpFields>;
using CountedRequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body,
                                       CountingAllocator<char>>;
using CountedResponseParser =
    boost::beast::http::response_parser<boost::beast::http::string_body,
                                        CountingAllocator<char>>;

/** @return Bytes on the heap that belong to the fields. */
inline size_t HeldBytes(const HttpFields& fields) {
  return fields.get_allocator().HeldBytes();
}

/** @return Bytes on the heap that belong to the message. */
template <bool kIsRequest>
size_t HeldBytes(
    const boost::beast::http::message<
        kIsRequest, boost::beast::http::string_body, HttpFields>& message) {
  return HeldBytes(message.base()) + message.body().capacity();
}

}  // namespace gv

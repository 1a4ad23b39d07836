/** @file http_client.h A blocking HTTP POST with a deadline, for the operators'
 * client. */
#pragma once

#include <string>

#include "state/clock_type.h"
#include "state/verdict_type.h"

namespace gv {

/** An HTTP request to one address. */
struct HttpPost {
  std::string address_;          ///< "IP:port".
  std::string path_;             ///< For example "/rpc".
  std::string bearer_;           ///< Key for the Authorization header; or none.
  std::string body_;             ///< JSON text.
  Duration timeout_;             ///< For the whole exchange.
  std::string method_ = "POST";  ///< Method of the request.
};

/** An HTTP answer. */
struct HttpAnswer {
  unsigned status_ = 0;  ///< Status code.
  std::string body_;     ///< The body.
};

/**
 * Sends a request and waits for its answer.
 * @return The answer, or Reason::kConnectionLost with address and reason.
 * Thread safety: any thread; it blocks.
 */
Result<HttpAnswer> SendHttpPost(const HttpPost& post);

}  // namespace gv

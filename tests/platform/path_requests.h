/** @file path_requests.h Configuration, requests and answers of tests over the
 * whole path of a gateway. */
#pragma once

#include <string>

#include "platform/scripted_target.h"

namespace gv {

/** Two calls and one stream; the stream's objective is short beside the time
 * that its longest prompts take to read. */
inline constexpr const char* kConfiguration = R"({"version":3,"routes":[
  {"name":"pay","hostname":"a.example","pathPrefix":"/pay/","kind":"unsafe",
   "timeoutMs":3000,"sloMs":200,"service":"shop","maxAttempts":1},
  {"name":"look","hostname":"a.example","pathPrefix":"/look/","kind":"safe",
   "timeoutMs":3000,"sloMs":200,"service":"shop","maxAttempts":2},
  {"name":"read","hostname":"a.example","pathPrefix":"/read/","kind":"stream",
   "timeoutMs":10000,"sloMs":1500,"service":"model","maxAttempts":2,
   "resumable":true,"gapAimMs":600}],
 "services":[{"name":"shop","maxConnections":50},
  {"name":"model","maxConnections":50,"engine":{"slots":16,
   "kvCapacityTokens":315000,"step_ms":0.85,"per_seq_ms":0.00425,
   "context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,
   "chunk":2048,"stride":51,"usual":{"prompt":11112,"answer":1622}}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerMs":3000,
  "idleMs":15000},
 "tenants":[{"name":"carvers","apiKeys":["k1"]}]})";

inline std::string Request(const std::string& path,
                           const std::string& more = "",
                           const std::string& key = "k1") {
  const std::string body = "text of the request";
  return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
         "Gooseberryvale-Attempt-Id: a1\r\nGooseberryvale-Deadline-Ms: "
         "9000\r\n" +
         "X-Api-Key: " + key + "\r\nConnection: close\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Answer(const TargetRequest& request, int status,
                          const std::string& more = "") {
  const std::string body = "own bytes";
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nGooseberryvale-Attempt-Id: " +
         request.Header("Gooseberryvale-Attempt-Id") + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline constexpr const char* kSigned =
    "Gooseberryvale-Response-Signature: s1\r\n";

/** @return True if @p text starts with @p part. */
inline bool Begins(const std::string& text, const std::string& part) {
  return text.rfind(part, 0) == 0;
}

}  // namespace gv

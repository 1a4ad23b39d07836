/** @file operator_listener.cc Connects libjsonrpccpp with the control thread.
 */
#include "transport/operator_listener.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <array>
#include <chrono>
#include <sstream>
#include <utility>

#include "transport/secret.h"

namespace gv {
namespace {

// JSON-RPC leaves -32000 to -32099 to servers; the library uses the first few.
constexpr int kRefusedCode = -32050;
constexpr int kTimeoutCode = -32051;
constexpr size_t kHashLength = 64;
constexpr std::array<const char*, 17> kMethods = {
    "settings.get",   "settings.set",   "settings.diff", "settings.history",
    "settings.undo",  "change.status",  "team.add",      "team.share",
    "team.limit",     "team.key",       "target.list",   "target.drain",
    "target.undrain", "control.status", "control.add",   "control.remove",
    "control.promote"};

/** Keeps the response of the library; there is no socket here. */
class TextConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* /*info*/) override {
    response_ = response;
    return true;
  }
  const std::string& Response() const { return response_; }

 private:
  std::string response_;  ///< Last response.
};

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

[[noreturn]] void ThrowRefused(int code, const std::string& message,
                               const std::string& reason) {
  Json::Value data;
  data["reason"] = reason;
  throw jsonrpc::JsonRpcException(code, message, data);
}

/** Serves the calls of one HTTP body. */
class RpcServer : public jsonrpc::AbstractServer<RpcServer> {
 public:
  RpcServer(TextConnector& connector, OperatorRpc& rpc, std::string name)
      : AbstractServer(connector), rpc_(rpc), name_(std::move(name)) {
    for (const char* method : kMethods) {
      bindAndAddMethod(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME,
                                          jsonrpc::JSON_OBJECT, nullptr),
                       &RpcServer::Unused);
    }
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    OperatorCall call;
    call.operator_name_ = name_;
    call.method_ = procedure.GetProcedureName();
    call.params_ = input.isNull() ? "{}" : ToText(input);
    const auto reply = rpc_.Call(std::move(call));
    if (!reply) {
      ThrowRefused(kTimeoutCode,
                   "no answer in time; a change may have been accepted, ask "
                   "again with the same change id",
                   "deadline");
    }
    if (!reply->ok_) {
      ThrowRefused(kRefusedCode, reply->error_, reply->reason_);
    }
    std::istringstream text(reply->result_);
    text >> output;
  }

 private:
  void Unused(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  OperatorRpc& rpc_;  ///< Outlives the server.
  std::string name_;  ///< Of the operator.
};

constexpr const char* kUnreadable =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,)"
    R"("message":"the request could not be read"}})";

}  // namespace

Result<OperatorKeys> OperatorKeys::Load(const std::string& file) {
  auto text = ReadFile(file);
  if (!text) {
    return text.error();
  }
  OperatorKeys keys;
  std::istringstream lines(text.value());
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == 0 || colon == std::string::npos ||
        line.size() - colon - 1 != kHashLength) {
      return NotRun(Reason::kBadRequest, file + ":" + std::to_string(number) +
                                             ": expected NAME:SHA256");
    }
    keys.rows_.push_back(Row{line.substr(0, colon), line.substr(colon + 1)});
  }
  return keys;
}

std::optional<std::string> OperatorKeys::FindOperator(
    std::string_view key) const {
  const std::string hash = Sha256Hex(key);
  std::optional<std::string> found;
  for (const Row& row : rows_) {
    if (EqualInConstantTime(row.sha256_, hash)) {
      found = row.name_;
    }
  }
  return found;
}

OperatorRpc::OperatorRpc(std::function<void(OperatorCall)> submit,
                         Duration timeout)
    : submit_(std::move(submit)), timeout_(timeout) {}

std::string OperatorRpc::Handle(const std::string& body,
                                const std::string& operator_name) {
  try {
    TextConnector connector;
    RpcServer server(connector, *this, operator_name);
    connector.OnRequest(body);
    return connector.Response();
  } catch (const std::exception&) {
    return kUnreadable;
  }
}

std::optional<OperatorReply> OperatorRpc::Call(OperatorCall call) {
  OperationId operation;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    operation = OperationId(next_++);
    waiting_[operation] = std::nullopt;
  }
  call.operation_ = operation;
  submit_(std::move(call));
  std::unique_lock<std::mutex> lock(mutex_);
  replied_.wait_for(
      lock, std::chrono::milliseconds(timeout_.Ms()),
      [this, operation]() { return waiting_[operation].has_value(); });
  std::optional<OperatorReply> reply = std::move(waiting_[operation]);
  waiting_.erase(operation);
  return reply;
}

void OperatorRpc::OnReply(OperatorReply reply) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = waiting_.find(reply.operation_);
    if (it == waiting_.end()) {
      return;
    }
    it->second = std::move(reply);
  }
  replied_.notify_all();
}

}  // namespace gv

/** @file platform_codec_test.cc What the users' platform sends, and what is
 * sent to it. */
#include "platform/platform_codec.h"

#include <doctest/doctest.h>

#include <map>
#include <nlohmann/json.hpp>

namespace gv::platform {
namespace {

Result<RoutingConfiguration> Decode(std::string_view text) {
  KnownRoutes none;
  return DecodeConfiguration(text, none);
}

constexpr const char* kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","hostname":"a.example","pathPrefix":"/p/","kind":"stream",
   "timeoutMs":10000,"sloMs":300,"priority":1,"maxAttempts":2,
   "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "allowAnonymous":false,"resumable":true,"gapAimMs":250},
  {"name":"r2","hostname":"a.example","pathPrefix":"/q/","kind":"unsafe",
   "timeoutMs":600,"service":"s2"}],
 "services":[{"name":"s1","maxConnections":344,"engine":{"slots":16,
   "kvCapacityTokens":315000,"step_ms":0.85,"per_seq_ms":0.00425,
   "context_per_k":0.00285,"read_per_s":177000.0,"pairs_per_m":0.184,
   "chunk":2048,"stride":51,"usual":{"prompt":11112,"answer":1622}}},
   {"name":"s2","maxConnections":52}],
 "limits":{"maxHeaderBytes":8192,"idleMs":9000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":2}],
 "more":{"unknown":[1,2,3]}})";

TEST_CASE("platform: a configuration is decoded into the product's types") {
  const auto decoded = Decode(kConfiguration);
  REQUIRE_MESSAGE(decoded.has_value(), decoded.error().detail_);
  const RoutingConfiguration& configuration = decoded.value();
  CHECK(configuration.version_ == 7);
  REQUIRE(configuration.routes_.size() == 2);
  const Route& route = configuration.routes_[0];
  CHECK(route.kind_ == RouteKind::kStream);
  CHECK(route.resumable_);
  CHECK(route.pause_objective_ == 250_ms);
  CHECK(route.services_.size() == 2);
  CHECK(configuration.routes_[1].services_[0].service_ == "s2");
  CHECK(configuration.routes_[1].max_targets_ == 1);
  REQUIRE(configuration.services_[0].engine_.has_value());
  CHECK(configuration.services_[0].engine_->prefill_tokens_per_ms_ == 177);
  CHECK(configuration.customers_.value()[0].priority_ == 2);
  CHECK(configuration.bounds_.header_bytes_ == 8192);
}

TEST_CASE("platform: a configuration that can't be read in full is refused") {
  const std::string text = kConfiguration;
  for (size_t length = 0; length < text.size(); length += 7) {
    CHECK_FALSE(Decode(text.substr(0, length)).has_value());
  }
  const auto replaced = [&](const std::string& from, const std::string& to) {
    std::string changed = text;
    changed.replace(changed.find(from), from.size(), to);
    return Decode(changed).has_value();
  };
  CHECK_FALSE(replaced("\"version\":7", "\"version\":\"7\""));
  CHECK_FALSE(replaced("\"stream\"", "\"other\""));
  CHECK_FALSE(replaced("\"timeoutMs\":600", "\"timeoutMs\":\"x\""));
  CHECK_FALSE(replaced("[\"k1\",\"k2\"]", "[1]"));
  CHECK_FALSE(replaced("\"service\":\"s2\"}]", "\"none\":\"s2\"}]"));
  for (const char* number : {"1e300", "-1e300", "9223372036854775808"}) {
    const std::string value = number;
    CHECK_FALSE(replaced("\"timeoutMs\":600", "\"timeoutMs\":" + value));
    CHECK_FALSE(replaced("\"sloMs\":300", "\"sloMs\":" + value));
    CHECK_FALSE(replaced("\"idleMs\":9000", "\"idleMs\":" + value));
    CHECK_FALSE(replaced("\"prompt\":11112", "\"prompt\":" + value));
  }
  const std::string deep(100000, '[');
  CHECK_FALSE(Decode("{\"a\":" + deep).has_value());
}

TEST_CASE(
    "platform: a configuration with an empty list of customers isn't taken for "
    "one without a list") {
  const std::string begin = R"({"version":7,"routes":[],"services":[])";
  const auto empty = Decode(begin + R"(,"tenants":[]})");
  REQUIRE(empty.has_value());
  REQUIRE(empty.value().customers_.has_value());
  CHECK(empty.value().customers_->empty());
  const auto absent = Decode(begin + "}");
  REQUIRE(absent.has_value());
  CHECK_FALSE(absent.value().customers_.has_value());
  for (const char* const no_list : {"null", "{}", "\"\"", "0", "false"}) {
    CAPTURE(no_list);
    const std::string member = std::string(",\"tenants\":") + no_list;
    CHECK_FALSE(Decode(begin + member + "}").has_value());
  }
}

std::string ManyRoutes(int count, int changed) {
  std::string text = R"({"version":8,"services":[{"name":"s2"}],"routes":[)";
  for (int i = 0; i < count; ++i) {
    text += std::string(i == 0 ? "" : ",\n ") + R"({"name":"r)" +
            std::to_string(i) +
            R"(","hostname":"a.example","pathPrefix":"/\"]}/)" +
            std::to_string(i) + R"(/","kind":"safe","service":"s2",)" +
            R"("timeoutMs":)" + (i == changed ? "900" : "600") + "}";
  }
  return text + "]}";
}

TEST_CASE("platform: only changed routes are decoded, with the same result") {
  KnownRoutes known;
  REQUIRE(DecodeConfiguration(ManyRoutes(1000, -1), known).has_value());
  CHECK(known.routes_.size() == 1000);
  const std::string text = ManyRoutes(1001, 500);
  const auto with = DecodeConfiguration(text, known);
  const auto without = Decode(text);
  REQUIRE(with.has_value());
  REQUIRE(without.has_value());
  CHECK(with.value().routes_ == without.value().routes_);
  CHECK(with.value().routes_[500].timeout_ == 900_ms);
  CHECK(known.routes_.size() == 1001);
  CHECK(
      DecodeConfiguration(R"({"version":1,"services":[],"routes":[ ]})", known)
          .has_value());
  CHECK(known.routes_.empty());
}

TEST_CASE("platform: what was decoded before lets nothing invalid through") {
  const std::string text = ManyRoutes(3, -1);
  // One byte of the text left out, doubled or replaced.
  for (size_t at = 0; at < text.size(); ++at) {
    for (const std::string& put :
         {std::string(), std::string(2, text[at]), std::string(1, ','),
          std::string(1, '}'), std::string(1, '"')}) {
      std::string changed = text;
      changed.replace(at, 1, put);
      KnownRoutes known;
      REQUIRE(DecodeConfiguration(text, known).has_value());
      const auto with = DecodeConfiguration(changed, known);
      const bool valid = nlohmann::json::accept(changed);
      CHECK((valid || !with.has_value()));
      CHECK(with.has_value() == Decode(changed).has_value());
    }
  }
  for (const char* odd :
       {R"({"version":1,"services":[],"routes":[],"routes":[]})",
        R"({"version":1,"services":[],"\u0072outes":[],"routes":[{}]})",
        R"({"version":1,"services":[],"routes":[]} x)",
        R"({"version":1,"services":[],"routes":[{}],})"}) {
    CHECK(Decode(odd).has_value() ==
          (std::string(odd).find("routes\":[],\"routes") != std::string::npos));
  }
}

TEST_CASE("platform: registrations of other writers name no target") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":16,)"
      R"("state":"ready","remainingMs":0,"sequence":4,"born":1700000000000})";
  const auto target = DecodeRegistration("i-1", good);
  REQUIRE(target.has_value());
  CHECK(target.value().start_ms_ == 1700000000000);
  CHECK(target.value().state_ == RegistrationState::kReady);
  for (const char* bad :
       {"", "x", "[]", R"({"service":"s"})",
        R"({"service":"s","address":"a:1","zone":"z","slots":16,
            "state":"odd","sequence":4})",
        R"({"service":"s","address":"a:1","zone":"z","slots":16,
            "state":"ready","sequence":"4"})",
        R"({"service":5,"address":"a:1","zone":"z","slots":16,
            "state":"ready","sequence":4})"}) {
    CHECK_MESSAGE(!DecodeRegistration("i-1", bad).has_value(), bad);
  }
}

TEST_CASE("platform: the caller's key and claims never reach a target") {
  HttpFields fields;
  fields.set("X-Api-Key", "secret");
  fields.set("Gooseberryvale-Tenant", "someone-else");
  fields.set("Gooseberryvale-Helpers", "10.0.0.1:80");
  fields.set("Gooseberryvale-Deadline-Ms", "99999");
  fields.set("Gooseberryvale-Attempt-Id", "9c41");
  fields.set("X-Other", "kept");
  ForwardFacts facts;
  facts.time_left_ = 750_ms;
  facts.target_ = TargetId("i-1");
  facts.customer_ = "t1";
  Codec().write_forward_(facts, fields);
  CHECK(fields.find("X-Api-Key") == fields.end());
  CHECK(fields.find("Gooseberryvale-Helpers") == fields.end());
  CHECK(fields["Gooseberryvale-Tenant"] == "t1");
  CHECK(fields["Gooseberryvale-Deadline-Ms"] == "750");
  CHECK(fields["Gooseberryvale-Expect-Instance"] == "i-1");
  CHECK(fields["Gooseberryvale-Attempt-Id"] == "9c41");
  CHECK(fields["X-Other"] == "kept");
}

/** @return A registration with one member replaced or added. */
std::string Registration(const std::string& name, const std::string& value) {
  std::map<std::string, std::string> members{
      {"service", "\"shop\""},   {"address", "\"10.0.0.9:8080\""},
      {"zone", "\"z1\""},        {"version", "\"v1\""},
      {"slots", "16"},           {"state", "\"ready\""},
      {"remainingMs", "0"},      {"sequence", "4"},
      {"born", "1791239588000"}, {"stage", "\"both\""}};
  members[name] = value;
  std::string text;
  for (const auto& [key, member] : members) {
    text += text.empty() ? "{\"" : ",\"";
    text.append(key).append("\":").append(member);
  }
  return text + "}";
}

TEST_CASE("platform: an odd entry of another writer names no target") {
  REQUIRE(Codec().decode_registration_("i-1", Registration("stage", "1")));
  struct Case {
    const char* name_;
    std::string value_;
  };
  const std::string deep(100000, '[');
  for (const Case& one : {Case{"address", "\"10.0.0.9:65536\""},
                          Case{"address", "\"10.0.0.9:99999999999\""},
                          Case{"address", "\"10.0.0.9:-1\""},
                          Case{"address", "\"10.0.0.9:0\""},
                          Case{"address", "\"10.0.0.9\""},
                          Case{"address", "\"\""},
                          Case{"address", "\"host:80\""},
                          Case{"address", "\"1.2.3:80\""},
                          Case{"address", "\"10.0.0.9:80,10.0.0.8:80\""},
                          Case{"address", "\"10.0.0.9:80/t1\""},
                          Case{"address", "7"},
                          Case{"slots", "1e300"},
                          Case{"slots", "0"},
                          Case{"slots", "-4"},
                          Case{"slots", "9007199254740992"},
                          Case{"slots", "1e999"},
                          Case{"sequence", "18446744073709551615"},
                          Case{"sequence", "99999999999999999999999"},
                          Case{"sequence", "-1"},
                          Case{"sequence", "4.5"},
                          Case{"born", "18446744073709551615"},
                          Case{"born", "9007199254740992"},
                          Case{"born", "-1"},
                          Case{"state", "\"gone\""},
                          Case{"state", "null"},
                          Case{"service", "{}"},
                          Case{"service", "\"\""},
                          Case{"zone", "[]"},
                          Case{"models", deep},
                          Case{"models", deep + std::string(100000, ']')},
                          Case{"models", std::string(20000, '{')}}) {
    CAPTURE(one.name_);
    CAPTURE(one.value_.substr(0, 40));
    CHECK_FALSE(Codec().decode_registration_(
        "i-1", Registration(one.name_, one.value_)));
  }
  for (const std::string& id :
       {std::string("i 1"), std::string(300, 'i'), std::string("i\n1")}) {
    CHECK_FALSE(Codec().decode_registration_(id, Registration("stage", "1")));
  }
}

TEST_CASE("platform: the last part of a prompt is shared with no other") {
  const auto parts_of = [](const std::string& list) {
    HttpFields fields;
    fields.set("Gooseberryvale-Prompt-Prefix", list);
    std::string parts;
    for (const PromptPartId& part :
         Codec().read_caller_(fields).shared_parts_) {
      parts += part.Value() + ";";
    }
    return parts;
  };
  CHECK(parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
        "5c1e07a2;91bd3f06;");
  CHECK(parts_of("5c1e:800, 91bd:410 ,e440") == "5c1e;91bd;");
  CHECK(parts_of("5c1e:800").empty());
  CHECK(parts_of("").empty());
  CHECK(parts_of(",,:7,").empty());
  CHECK(parts_of("a,b,c") == "a;b;");
  CHECK(parts_of(std::string(65, 'f') + ":1,a:1,b:1") == "a;");
}

TEST_CASE("platform: headers of requests and answers") {
  HttpFields fields;
  fields.set("Gooseberryvale-Token-Usage", "1460,80");
  fields.set("Gooseberryvale-Deadline-Ms", "10000");
  fields.set("Last-Event-Id", "12");
  const CallerFacts caller = Codec().read_caller_(fields);
  CHECK(caller.prompt_tokens_ == 1460);
  CHECK(caller.answer_tokens_ == 80);
  CHECK(caller.deadline_ == 10_s);
  CHECK(caller.last_event_ == 12);
  fields.set("Gooseberryvale-Deadline-Ms", "9223372036854775807");
  CHECK_FALSE(Codec().read_caller_(fields).deadline_.has_value());
  fields.set("Gooseberryvale-Deadline-Ms", "-5");
  CHECK_FALSE(Codec().read_caller_(fields).deadline_.has_value());
  HttpFields answer;
  answer.set("Keep-Alive", "timeout=9223372036854775807");
  CHECK_FALSE(Codec().read_answer_(200, answer).keep_alive_.has_value());
  answer.set("Gooseberryvale-Not-Executed", "1");
  answer.set("Keep-Alive", "timeout=7, max=3");
  CHECK(Codec().read_answer_(503, answer).not_run_);
  CHECK(Codec().read_answer_(503, answer).keep_alive_ == 7_s);
  CHECK_FALSE(Codec().read_answer_(503, HttpFields()).not_run_);
  CHECK(Codec().read_answer_(421, HttpFields()).not_run_);
  CHECK(Codec().read_control_("PUT", "/v1/instances/i-1").call_ ==
        ControlCall::kRegister);
  CHECK(Codec().read_control_("DELETE", "/v1/instances/i-1").call_ ==
        ControlCall::kDepart);
  CHECK(Codec().read_control_("GET", "/v1/other").call_ ==
        ControlCall::kUnknown);
}

TEST_CASE("platform: calls about evacuations are read, and odd ones") {
  const auto read = [](const char* method, const char* path) {
    return Codec().read_control_(method, path);
  };
  CHECK(read("POST", "/v1/evacuations/west").call_ == ControlCall::kEvacuate);
  CHECK(read("POST", "/v1/evacuations/west").id_ == "west");
  CHECK(read("DELETE", "/v1/evacuations/west").call_ ==
        ControlCall::kEndEvacuation);
  CHECK(read("GET", "/v1/evacuations").call_ == ControlCall::kListEvacuations);
  // The gateway answers 400 to malformed names, not 404.
  CHECK(read("POST", "/v1/evacuations/").call_ == ControlCall::kEvacuate);
  CHECK(read("POST", "/v1/evacuations/").id_.empty());
  CHECK(read("DELETE", "/v1/evacuations/a/b").id_ == "a/b");
  // A query is ignored, as in all calls.
  CHECK(read("DELETE", "/v1/evacuations/west?c").id_ == "west");
  CHECK(read("PUT", "/v1/evacuations/west").call_ == ControlCall::kUnknown);
  CHECK(read("GET", "/v1/evacuations/west").call_ == ControlCall::kUnknown);
  CHECK(read("POST", "/v1/evacuations").call_ == ControlCall::kUnknown);
  CHECK(read("POST", "/v1/evacuationswest").call_ == ControlCall::kUnknown);
  for (const ControlCall call :
       {ControlCall::kEvacuate, ControlCall::kEndEvacuation,
        ControlCall::kListEvacuations}) {
    const EvacuationCall made = Codec().encode_evacuation_(call, "west");
    CHECK(Codec().read_control_(made.method_, made.path_).call_ == call);
  }
}

TEST_CASE("platform: an unusable cold time does not refuse a registration") {
  // A target whose registration is refused for a bad cold time gets no requests
  // at all; one whose bad cold time is used is never, or for ever, cold.
  const auto warm_up = [](const char* value) {
    const auto target =
        Codec().decode_registration_("i-1", Registration("remainingMs", value));
    CAPTURE(value);
    REQUIRE(target.has_value());
    return target.value().warm_up_;
  };
  CHECK(warm_up("0") == Duration());
  CHECK(warm_up("2999.5") == Duration(2999));
  CHECK(warm_up("3600000") == Duration(3600000));
  CHECK(warm_up("null") == kUnstatedWarmUp);
  for (const char* bad : {"-1", "-0.5", "3600001", "1e300", "-1e300"}) {
    CHECK(warm_up(bad) == kUnreadableWarmUp);
  }
  // A field of another type is not from a target that may be used.
  for (const char* other : {"\"soon\"", "[]", "true"}) {
    CHECK_FALSE(
        Codec()
            .decode_registration_("i-1", Registration("remainingMs", other))
            .has_value());
  }
}

TEST_CASE("platform: limits that targets name, and odd ones") {
  HttpFields answer;
  CHECK(Codec().read_answer_(200, answer).limit_news_ == LimitNews::kNone);
  CHECK(Codec().read_answer_(421, answer).limit_news_ == LimitNews::kNothing);
  for (const auto& item : std::map<std::string, double>{
           {"1", 1}, {"1.1", 1.1}, {"0", 0}, {"0.05", 0.05}, {"1e9", 1e9}}) {
    CAPTURE(item.first);
    answer.set("Server-Limit", item.first);
    const AnswerFacts facts = Codec().read_answer_(503, answer);
    CHECK(facts.limit_news_ == LimitNews::kNamed);
    CHECK(facts.limit_per_second_ == item.second);
    CHECK(Codec().read_answer_(421, answer).limit_news_ == LimitNews::kNothing);
  }
  for (const char* text :
       {"", "many", "-1", "nan", "inf", "1e999", "1 a second", "0x10"}) {
    CAPTURE(text);
    answer.set("Server-Limit", text);
    CHECK(Codec().read_answer_(200, answer).limit_news_ ==
          LimitNews::kUnreadable);
  }
}

}  // namespace
}  // namespace gv::platform

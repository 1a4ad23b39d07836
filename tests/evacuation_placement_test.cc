/** @file evacuation_placement_test.cc Nothing is placed at targets of evacuated
 * data centres, by gateways or by the leader. */
#include <doctest/doctest.h>

#include <algorithm>

#include "coordination/gateway/placement.h"
#include "coordination/gateway/prompt_scheduler.h"
#include "support/gateway_engines.h"

namespace gv {
namespace {

constexpr int64_t kShort = 4960;
constexpr int64_t kLong = 154000;
/** Exceeds the memory of one engine, so that helpers reserve some. */
constexpr int64_t kHuge = 400000;
const TimePoint kNow(1000);

/** Engines of "model" and targets of "shop", every second one in "west". */
struct TwoDataCentres {
  TwoDataCentres() : gateway_("g0", directory_) {
    gateway_.ledger_.SetLeader(NodeId("g0"));
    for (int i = 0; i < 24; ++i) {
      Add("engine-", "model", i);
      Add("shop-", "shop", i);
    }
  }

  void Add(const std::string& id, const std::string& service, int number) {
    TargetRegistration target;
    target.id_ = TargetId(id + std::to_string(number));
    target.service_ = service;
    target.address_ = "10.0.0." + std::to_string(number) +
                      (service == "shop" ? ":81" : ":80");
    target.data_centre_ = DataCentreId(number % 2 == 0 ? "west" : "dc");
    target.slots_ = 16;
    target.start_ms_ = 1;
    directory_.Merge(kNow, target);
  }

  bool IsWest(const TargetId& id) const {
    return directory_.Find(id)->target_.data_centre_ == DataCentreId("west");
  }

  /** @return True if any of the targets is in "west". */
  bool UsesWest(const TargetId& target, const std::vector<TargetId>& helpers,
                const std::vector<ReservationPlan>& reservations) const {
    return IsWest(target) ||
           std::any_of(helpers.begin(), helpers.end(),
                       [this](const TargetId& id) { return IsWest(id); }) ||
           std::any_of(reservations.begin(), reservations.end(),
                       [this](const ReservationPlan& plan) {
                         return IsWest(plan.target_);
                       });
  }

  /** @return How many of 50 requests the gateway places in "west". */
  int PlacedInWest(const Service& service, int64_t tokens) const {
    int count = 0;
    for (uint64_t hash = 0; hash < 50; ++hash) {
      PlacementRequest request;
      request.service_ = &service;
      request.prompt_tokens_ = tokens;
      request.answer_tokens_ = tokens > 0 ? 800 : 0;
      request.hash_ = hash * 0x9e3779b97f4a7c15U;
      const auto placement = gateway_.placer_.Place(kNow, request);
      REQUIRE(placement);
      gateway_.ledger_.Begin(kNow, placement->work_);
      count += UsesWest(placement->target_, placement->helpers_,
                        placement->reservations_)
                   ? 1
                   : 0;
    }
    return count;
  }

  TargetDirectory directory_;
  mutable PlacementFixture gateway_;
};

const Service kModel{"model", 434, ReferenceEngine()};
const Service kShop{"shop", 434, std::nullopt};

TEST_CASE("evacuation: a gateway places nothing there") {
  for (const int64_t tokens : {int64_t(0), kShort, kLong, kHuge}) {
    CAPTURE(tokens);
    const Service& service = tokens == 0 ? kShop : kModel;
    const TwoDataCentres undisturbed;
    CHECK(undisturbed.PlacedInWest(service, tokens) > 0);
    TwoDataCentres evacuated;
    // The cached list of ready targets must not survive the order.
    REQUIRE(evacuated.PlacedInWest(service, tokens) > 0);
    evacuated.directory_.SetEvacuated({DataCentreId("west")});
    CHECK(evacuated.PlacedInWest(service, tokens) == 0);
    CHECK_FALSE(evacuated.gateway_.placer_.IsEvacuated(service.name_));
  }
}

/** @return How many of 20 prompts the leader places in "west". */
int LeaderPlacesInWest(TwoDataCentres& world, PromptScheduler& scheduler,
                       int64_t tokens, uint64_t first) {
  int count = 0;
  int placed_count = 0;
  for (uint64_t i = 0; i < 20; ++i) {
    PromptAsk ask;
    ask.operation_ = OperationId(first + i);
    ask.service_ = "model";
    ask.prompt_tokens_ = tokens;
    ask.answer_tokens_ = 800;
    ask.latest_ = 60_s;
    ask.time_left_ = 90_s;
    scheduler.OnPlacementRequest(kNow, NodeId("g1"), ask, &kModel);
    for (const SchedulerReply& reply : scheduler.TakeReplies()) {
      if (const auto* placed = std::get_if<PromptPlaced>(&reply.body_)) {
        ++placed_count;
        count += world.UsesWest(placed->target_, placed->helpers_,
                                placed->reservations_)
                     ? 1
                     : 0;
      }
    }
  }
  CHECK(placed_count > 0);
  return count;
}

TEST_CASE("evacuation: the leader places no prompt there") {
  for (const int64_t tokens : {kShort, kLong}) {
    CAPTURE(tokens);
    TwoDataCentres world;
    PromptScheduler scheduler(world.gateway_.placer_);
    CHECK(LeaderPlacesInWest(world, scheduler, kShort, 1) > 0);
    world.directory_.SetEvacuated({DataCentreId("west")});
    CHECK(LeaderPlacesInWest(world, scheduler, tokens, 1000) == 0);
  }
}

TEST_CASE("evacuation: a service is evacuated if no other target is ready") {
  TwoDataCentres world;
  const Placer& placer = world.gateway_.placer_;
  CHECK_FALSE(placer.IsEvacuated("model"));
  CHECK_FALSE(placer.IsEvacuated("unknown"));
  world.directory_.SetEvacuated({DataCentreId("west"), DataCentreId("dc")});
  CHECK(placer.IsEvacuated("model"));
  CHECK(placer.IsEvacuated("shop"));
  CHECK_FALSE(placer.IsEvacuated("unknown"));
  PlacementRequest request;
  request.service_ = &kShop;
  CHECK_FALSE(placer.Place(kNow, request));
  world.directory_.SetEvacuated({DataCentreId("west")});
  CHECK_FALSE(placer.IsEvacuated("model"));
  CHECK(placer.Place(kNow, request));
}

}  // namespace
}  // namespace gv

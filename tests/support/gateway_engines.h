/** @file gateway_engines.h Engines with the figures of the users' data sheets,
 * and a gateway's state for tests of placement. */
#pragma once

#include <string>

#include "coordination/gateway/placement.h"

namespace gv {

/** @return An engine with the figures of the users' data sheets. */
inline EngineProfile ReferenceEngine() {
  EngineProfile engine;
  engine.slots_ = 16;
  engine.memory_tokens_ = 315000;
  engine.step_ms_ = 0.85;
  engine.stream_step_ms_ = 0.00425;
  engine.context_step_ms_ = 0.00285;
  engine.prefill_tokens_per_ms_ = 177;
  engine.pair_ms_per_million_ = 0.184;
  engine.steps_per_event_ = 51;
  engine.usual_prompt_tokens_ = 11112;
  engine.usual_answer_tokens_ = 1622;
  return engine;
}

/** Registers @p count targets with the ids "engine-0", "engine-1" and so on for
 * the service "model". @param slots Requests that each serves at once. */
inline void AddEngines(TargetDirectory& directory, int count,
                       int64_t slots = 16) {
  for (int i = 0; i < count; ++i) {
    TargetRegistration target;
    target.id_ = TargetId("engine-" + std::to_string(i));
    target.service_ = "model";
    target.address_ = "10.0.0." + std::to_string(i) + ":80";
    target.data_centre_ = DataCentreId("dc");
    target.slots_ = slots;
    target.start_ms_ = 1;
    directory.Merge(TimePoint(0), target);
  }
}

/** A placer with the state of one gateway that it refers to. */
struct PlacementFixture {
  PlacementFixture(const std::string& name, const TargetDirectory& directory)
      : node_(name),
        placer_(node_, DataCentreId("dc"), directory, ledger_, health_,
                limits_) {}
  NodeId node_;          ///< Name of the gateway.
  LoadLedger ledger_;    ///< Load of the targets.
  TargetHealth health_;  ///< Failures of the targets.
  TargetLimits limits_;  ///< Limits that the targets named.
  Placer placer_;        ///< Placer under test.
};

}  // namespace gv

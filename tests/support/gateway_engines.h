/** @file gateway_engines.h Engines of the users' sheets, and a gateway's
 * knowledge of them, for tests of placement. */
#pragma once

#include <string>

#include "coordination/gateway/placement.h"

namespace gv {

/** @return An engine of the users' sheets. */
inline EngineProfile SheetEngine() {
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

/** Registers "engine-0" and so on for the service "model". */
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

/** A gateway's knowledge and choice. */
struct PlacementRig {
  PlacementRig(const std::string& name, const TargetDirectory& directory)
      : node_(name),
        placer_(node_, DataCentreId("dc"), directory, ledger_, health_) {}
  NodeId node_;          ///< Its name.
  LoadLedger ledger_;    ///< Own and reported work.
  TargetHealth health_;  ///< Of all targets.
  Placer placer_;        ///< Under test.
};

}  // namespace gv

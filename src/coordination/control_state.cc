/** @file control_state.cc Saves and loads the replicated state. */
#include "coordination/control_state.h"

#include <vector>

namespace gv {
namespace {

constexpr std::string_view kClockTag = "CLOK";
constexpr uint32_t kClockVersion = 1;

/** Row of the clock's chunk. */
struct ClockRow {
  int64_t cluster_ms_ = 0;  ///< Replicated clock of the last command.
};

Result<void> LoadClock(const SaveChunk& chunk, ControlState& state) {
  auto rows = ReadRows<ClockRow>(chunk);
  if (!rows) {
    return rows.error();
  }
  if (rows.value().size() != 1) {
    return NotRun(Reason::kStorage, "snapshot chunk CLOK: one row expected");
  }
  state.cluster_ms_ = rows.value().front().cluster_ms_;
  return boost::outcome_v2::success();
}

Result<void> LoadChunk(const SaveChunk& chunk, ControlState& state) {
  if (chunk.tag_ == kClockTag) {
    return LoadClock(chunk, state);
  }
  if (chunk.tag_ == ClaimTable::kChunkTag) {
    return state.claims_.Load(chunk);
  }
  if (chunk.tag_ == TargetRegistry::kChunkTag) {
    return state.targets_.Load(chunk);
  }
  if (auto loaded = state.settings_.Load(chunk); !loaded) {
    return loaded.error();
  }
  return boost::outcome_v2::success();
}

}  // namespace

std::string SaveControlState(const ControlState& state) {
  std::string out;
  AppendChunk(MakeChunk(std::string(kClockTag), kClockVersion,
                        std::vector<ClockRow>{{state.cluster_ms_}}),
              out);
  state.settings_.Save(out);
  state.claims_.Save(out);
  state.targets_.Save(out);
  return out;
}

Result<ControlState> LoadControlState(std::string_view bytes) {
  auto chunks = ReadChunks(bytes);
  if (!chunks) {
    return chunks.error();
  }
  ControlState state;
  for (const SaveChunk& chunk : chunks.value()) {
    if (auto loaded = LoadChunk(chunk, state); !loaded) {
      return loaded.error();
    }
  }
  return state;
}

}  // namespace gv

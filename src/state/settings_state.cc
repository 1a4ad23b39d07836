/** @file settings_state.cc Executes, remembers and saves settings changes. */
#include "state/settings_state.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace gv {
namespace {

constexpr std::string_view kTreeTag = "SETT";
constexpr std::string_view kHistoryTag = "SHIS";
constexpr std::string_view kResultsTag = "SRES";
constexpr std::string_view kLeasesTag = "SLEA";
constexpr uint32_t kVersion = 1;
constexpr size_t kMaxResults = 100'000;
// A lowered lease length counts for twice its length, for drift of clocks.
constexpr int64_t kLoweredLeaseFactor = 2;
constexpr std::array<std::string_view, 2> kLeasePaths = {"session.lease_ms",
                                                         "limits.lease_ms"};

uint64_t DigestOf(const SettingsChange& change) {
  std::string bytes;
  nlohmann::json::to_msgpack(ToJsonField(change), bytes);
  return XXH3_64bits(bytes.data(), bytes.size());
}

ChangeResult Refused(const SettingsChange& change, Revision newest,
                     Verdict verdict) {
  ChangeResult result;
  result.change_id_ = change.change_id_;
  result.digest_ = DigestOf(change);
  result.revision_ = newest;
  result.reason_ = verdict.reason_;
  result.error_ = std::move(verdict.detail_);
  return result;
}

/** Replaces @p container by the rows of a chunk. */
template <class Container>
Result<void> LoadRows(const SaveChunk& chunk, Container& container) {
  auto rows = ReadRows<typename Container::value_type>(chunk);
  if (!rows) {
    return rows.error();
  }
  container.assign(rows.value().begin(), rows.value().end());
  return boost::outcome_v2::success();
}

}  // namespace

Result<void> SettingsState::Test(const SettingsChange& change) const {
  if (change.change_id_.IsNone()) {
    return NotRun(Reason::kBadRequest, "the change has no change id");
  }
  if (FindResult(change.change_id_) != nullptr) {
    return boost::outcome_v2::success();
  }
  return tree_.Test(change.edits_);
}

ChangeResult SettingsState::Execute(int64_t cluster_ms,
                                    const SettingsChange& change) {
  DropExpired(cluster_ms);
  if (auto first = FirstAnswer(change)) {
    return *first;
  }
  numbers_[change.change_id_] = first_result_ + results_.size();
  results_.push_back(Decide(cluster_ms, change));
  return results_.back();
}

std::optional<ChangeResult> SettingsState::FirstAnswer(
    const SettingsChange& change) const {
  const ChangeResult* first = FindResult(change.change_id_);
  if (first == nullptr) {
    return std::nullopt;
  }
  if (change.edits_.empty() || first->digest_ == DigestOf(change)) {
    return *first;
  }
  return Refused(
      change, tree_.CurrentRevision(),
      NotRun(Reason::kConflict, "change id " + change.change_id_.Value() +
                                    " was used for another change"));
}

ChangeResult SettingsState::Decide(int64_t cluster_ms,
                                   const SettingsChange& change) {
  const Revision newest = tree_.CurrentRevision();
  ChangeResult result;
  if (!change.base_revision_.IsNone() && change.base_revision_ != newest) {
    result =
        Refused(change, newest,
                NotRun(Reason::kConflict, WinnerText(change.base_revision_)));
  } else if (auto tested = tree_.TestKeys(change.edits_); !tested) {
    result = Refused(change, newest, tested.error());
  } else {
    result.change_id_ = change.change_id_;
    result.digest_ = DigestOf(change);
    result.accepted_ = true;
    Accept(cluster_ms, change);
    result.revision_ = tree_.CurrentRevision();
  }
  result.cluster_ms_ = cluster_ms;
  return result;
}

void SettingsState::Accept(int64_t cluster_ms, const SettingsChange& change) {
  SettingsRecord record;
  record.revision_ = tree_.CurrentRevision().Next();
  record.change_id_ = change.change_id_;
  record.author_ = change.author_;
  record.reason_ = change.reason_;
  record.cluster_ms_ = cluster_ms;
  record.edits_ = change.edits_;
  record.inverse_ = tree_.Inverse(change.edits_);
  NoteLoweredLeases(cluster_ms, record);
  tree_.Apply(record.edits_, record.revision_);
  history_.push_back(std::move(record));
  const auto keep = static_cast<size_t>(tree_.Int("history.keep_revisions"));
  while (history_.size() > keep) {
    history_.pop_front();
  }
}

std::string SettingsState::WinnerText(Revision base) const {
  const Revision newest = tree_.CurrentRevision();
  std::string text = "the change builds on revision " +
                     std::to_string(base.Value()) + ", the newest is " +
                     std::to_string(newest.Value());
  if (const SettingsRecord* winner = Record(base.Next())) {
    text += "; revision " + std::to_string(winner->revision_.Value()) +
            " is change " + winner->change_id_.Value() + " by " +
            winner->author_ + ": " + winner->edits_.front().path_;
  }
  return text;
}

const ChangeResult* SettingsState::FindResult(const ChangeId& id) const {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? nullptr : &results_[it->second - first_result_];
}

const SettingsRecord* SettingsState::Record(Revision revision) const {
  if (history_.empty() || revision < history_.front().revision_ ||
      revision > history_.back().revision_) {
    return nullptr;
  }
  return &history_[revision.Value() - history_.front().revision_.Value()];
}

std::optional<std::vector<SettingsEdit>> SettingsState::EditsSince(
    Revision from) const {
  if (from == tree_.CurrentRevision()) {
    return std::vector<SettingsEdit>();
  }
  if (Record(from.Next()) == nullptr) {
    return std::nullopt;
  }
  std::map<std::string, const SettingsEdit*> last;
  for (Revision r = from.Next(); r <= tree_.CurrentRevision(); r = r.Next()) {
    for (const SettingsEdit& edit : Record(r)->edits_) {
      last[edit.path_] = &edit;
    }
  }
  std::vector<SettingsEdit> edits;
  edits.reserve(last.size());
  for (const auto& [path, edit] : last) {
    edits.push_back(*edit);
  }
  return edits;
}

Result<std::vector<SettingsEdit>> SettingsState::UndoEdits(
    Revision revision) const {
  const std::string name = "revision " + std::to_string(revision.Value());
  const SettingsRecord* record = Record(revision);
  if (record == nullptr) {
    return NotRun(Reason::kBadRequest, name + " is not in the history");
  }
  for (Revision r = revision.Next(); r <= tree_.CurrentRevision();
       r = r.Next()) {
    for (const SettingsEdit& later : Record(r)->edits_) {
      const bool same = std::any_of(
          record->edits_.begin(), record->edits_.end(),
          [&later](const auto& edit) { return edit.path_ == later.path_; });
      if (same) {
        return NotRun(Reason::kConflict,
                      name + ": " + later.path_ + " was changed again by " +
                          "revision " + std::to_string(r.Value()));
      }
    }
  }
  return record->inverse_;
}

Duration SettingsState::LongestLease(std::string_view path,
                                     int64_t cluster_ms) const {
  int64_t longest = tree_.Int(path);
  for (const LoweredLease& lowered : lowered_) {
    const int64_t counts_until =
        lowered.cluster_ms_ + lowered.old_ms_ * kLoweredLeaseFactor;
    if (lowered.path_ == path && cluster_ms <= counts_until) {
      longest = std::max(longest, lowered.old_ms_);
    }
  }
  return Duration(longest);
}

void SettingsState::NoteLoweredLeases(int64_t cluster_ms,
                                      const SettingsRecord& record) {
  std::erase_if(lowered_, [cluster_ms](const LoweredLease& lowered) {
    return cluster_ms >
           lowered.cluster_ms_ + lowered.old_ms_ * kLoweredLeaseFactor;
  });
  for (const SettingsEdit& edit : record.edits_) {
    const bool is_lease = std::find(kLeasePaths.begin(), kLeasePaths.end(),
                                    edit.path_) != kLeasePaths.end();
    if (is_lease) {
      lowered_.push_back(
          LoweredLease{edit.path_, tree_.Int(edit.path_), cluster_ms});
    }
  }
}

void SettingsState::DropExpired(int64_t cluster_ms) {
  const int64_t keep_ms = tree_.Int("changes.keep_ms");
  while (!results_.empty() &&
         (results_.size() >= kMaxResults ||
          results_.front().cluster_ms_ + keep_ms < cluster_ms)) {
    numbers_.erase(results_.front().change_id_);
    results_.pop_front();
    ++first_result_;
  }
}

void SettingsState::Save(std::string& out) const {
  AppendChunk(tree_.Save(), out);
  AppendChunk(
      MakeChunk(std::string(kHistoryTag), kVersion,
                std::vector<SettingsRecord>(history_.begin(), history_.end())),
      out);
  AppendChunk(
      MakeChunk(std::string(kResultsTag), kVersion,
                std::vector<ChangeResult>(results_.begin(), results_.end())),
      out);
  AppendChunk(MakeChunk(std::string(kLeasesTag), kVersion, lowered_), out);
}

Result<bool> SettingsState::Load(const SaveChunk& chunk) {
  Result<void> loaded = boost::outcome_v2::success();
  if (chunk.tag_ == kTreeTag) {
    loaded = tree_.Load(chunk);
  } else if (chunk.tag_ == kHistoryTag) {
    loaded = LoadRows(chunk, history_);
  } else if (chunk.tag_ == kResultsTag) {
    loaded = LoadRows(chunk, results_);
    NumberResults();
  } else if (chunk.tag_ == kLeasesTag) {
    loaded = LoadRows(chunk, lowered_);
  } else {
    return false;
  }
  if (!loaded) {
    return loaded.error();
  }
  return true;
}

void SettingsState::NumberResults() {
  first_result_ = 0;
  numbers_.clear();
  for (size_t i = 0; i < results_.size(); ++i) {
    numbers_[results_[i].change_id_] = i;
  }
}

}  // namespace gv

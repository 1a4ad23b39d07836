/** @file part_quarantine.cc Blames parts of prompts for crashes. */
#include "coordination/gateway/part_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <iterator>

namespace gv {
namespace {

/** Crashes in a row after which a part is quarantined. */
constexpr size_t kCrashesToQuarantine = 3;
/** The same for a whole request, which hardly ever runs beside a crash twice
 * without being the cause; a plain service may have three targets only. */
constexpr size_t kCrashesToQuarantineWhole = 2;
/** Begins the parts that stand for whole requests; no part of a prompt has a
 * colon. */
constexpr std::string_view kWholePrefix = "request:";
/** A crashed engine is back after some seconds, so that reports that are
 * further apart are about different crashes. */
constexpr Duration kSameCrash = 1_s;
/** Within this time all gateways have noticed a crash and told of it. */
constexpr Duration kReportTime = 250_ms;
/** Time for which crashes and answers count. */
constexpr Duration kMemory = 60_s;
/** Differences of the times that reports take to arrive. */
constexpr Duration kReportJitter = 20_ms;
constexpr Duration kFirstQuarantine = 60_s;
constexpr Duration kMaxQuarantine{3600000};
/** Within this time a trial ends; gateways try one after the other. */
constexpr Duration kTrialTime = 4_s;
/** Answers to the same part are told again after this time. */
constexpr Duration kAnswerRepeat = 1_s;
constexpr size_t kMostCrashes = 128;
constexpr size_t kMostSuspects = 64;
constexpr size_t kMostRows = 256;

bool IsWhole(const PromptPartId& part) {
  return part.Value().starts_with(kWholePrefix);
}

}  // namespace

PromptPartId WholeRequestPart(std::string_view address, std::string_view caller,
                              std::string_view part_list,
                              std::string_view body) {
  XXH3_state_t* state = XXH3_createState();
  XXH3_64bits_reset(state);
  for (const std::string_view text : {address, caller, part_list, body}) {
    const uint64_t size = text.size();
    XXH3_64bits_update(state, &size, sizeof(size));
    XXH3_64bits_update(state, text.data(), text.size());
  }
  const uint64_t hash = XXH3_64bits_digest(state);
  XXH3_freeState(state);
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, hash);
  return PromptPartId(std::string(kWholePrefix) + text.data());
}

PartQuarantine::Crash& PartQuarantine::FindOrAdd(const EngineCrash& report,
                                                 TimePoint at) {
  for (Crash& crash : crashes_) {
    const Duration apart = std::max(crash.at_ - at, at - crash.at_);
    if (crash.target_ == report.target_ &&
        crash.start_ms_ == report.start_ms_ && apart < kSameCrash) {
      return crash;
    }
  }
  if (crashes_.size() >= kMostCrashes) {
    crashes_.pop_front();
  }
  const auto after =
      std::find_if(crashes_.begin(), crashes_.end(),
                   [at](const Crash& crash) { return at < crash.at_; });
  Crash crash;
  crash.target_ = report.target_;
  crash.start_ms_ = report.start_ms_;
  crash.service_ = report.service_;
  crash.at_ = at;
  return *crashes_.insert(after, std::move(crash));
}

PartQuarantine::Streak PartQuarantine::StreakOf(const Key& key) const {
  const std::string& service = key.first;
  const PromptPartId& part = key.second;
  const auto answered = answered_.find(key);
  Streak streak;
  for (const Crash& crash : crashes_) {
    if (!crash.is_decided_ || crash.service_ != service ||
        !crash.parts_.contains(part) ||
        (answered != answered_.end() && crash.at_ <= answered->second)) {
      continue;
    }
    const bool was_sent_after = std::any_of(
        crash.suspects_.begin(), crash.suspects_.end(),
        [&](const Suspect& suspect) {
          return std::find(suspect.parts_.begin(), suspect.parts_.end(),
                           part) != suspect.parts_.end() &&
                 (streak.crashes_ == 0 ||
                  suspect.sent_ + kReportJitter >= streak.last_);
        });
    if (!was_sent_after) {
      continue;
    }
    if (streak.crashes_ == 0) {
      streak.common_ = crash.parts_;
    } else {
      std::erase_if(streak.common_, [&crash](const PromptPartId& other) {
        return !crash.parts_.contains(other);
      });
    }
    ++streak.crashes_;
    streak.last_ = crash.at_;
  }
  // A whole request needs no other part to be recognised, and what else was
  // present ran beside it.
  std::erase_if(streak.common_, [&](const PromptPartId& other) {
    return other != part &&
           (IsWhole(part) || answered_.contains(Key(service, other)));
  });
  return streak;
}

void PartQuarantine::OnCrash(TimePoint now, const EngineCrash& report) {
  const TimePoint at = now - report.age_;
  Crash& crash = FindOrAdd(report, at);
  crash.is_decided_ = false;
  for (const CrashedPrompt& prompt : report.prompts_) {
    if (crash.suspects_.size() < kMostSuspects) {
      crash.suspects_.push_back(Suspect{at - prompt.running_, prompt.parts_});
      crash.parts_.insert(prompt.parts_.begin(), prompt.parts_.end());
    }
  }
}

std::vector<PartQuarantine::Key> PartQuarantine::OnTick(TimePoint now) {
  Expire(now);
  std::set<Key> undecided;
  for (Crash& crash : crashes_) {
    if (!crash.is_decided_ && now - crash.at_ >= kReportTime) {
      crash.is_decided_ = true;
      for (const PromptPartId& part : crash.parts_) {
        undecided.emplace(crash.service_, part);
      }
    }
  }
  std::vector<Key> begun;
  for (const Key& key : undecided) {
    const Streak streak = StreakOf(key);
    const bool was_quarantined = rows_.contains(key);
    const size_t needed =
        IsWhole(key.second) ? kCrashesToQuarantineWhole : kCrashesToQuarantine;
    if (streak.crashes_ >= (was_quarantined ? 1 : needed) &&
        Quarantine(now, key, streak)) {
      begun.push_back(key);
    }
  }
  return begun;
}

bool PartQuarantine::Quarantine(TimePoint now, const Key& key,
                                const Streak& streak) {
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    if (rows_.size() >= kMostRows) {
      return false;
    }
    rows_[key] = Row{streak.common_, streak.last_, now + kFirstQuarantine,
                     kFirstQuarantine};
    UpdateDigest();
    return true;
  }
  Row& row = found->second;
  row.with_ = streak.common_;
  if (streak.last_ <= row.crashed_) {
    return false;
  }
  // Prompts that were on their way when the quarantine began are no trial.
  const bool was_trial = streak.last_ - row.crashed_ >= row.length_;
  row.crashed_ = streak.last_;
  row.length_ =
      was_trial ? std::min(row.length_ * 2, kMaxQuarantine) : row.length_;
  row.trial_at_ = now + row.length_;
  return was_trial;
}

void PartQuarantine::Clear(TimePoint at, const Key& key) {
  TimePoint& answered = answered_[key];
  answered = std::max(answered, at);
  rows_.erase(key);
  for (auto& [other, row] : rows_) {
    if (other.first == key.first) {
      row.with_.erase(key.second);
    }
  }
  UpdateDigest();
}

std::vector<PromptPartId> PartQuarantine::OnAnswer(
    TimePoint now, const std::string& service,
    const std::vector<PromptPartId>& parts) {
  std::vector<PromptPartId> news;
  if (crashes_.empty() && rows_.empty()) {
    return news;
  }
  for (const PromptPartId& part : parts) {
    const Key key(service, part);
    const auto answered = answered_.find(key);
    const bool is_known =
        answered != answered_.end() && now - answered->second < kAnswerRepeat;
    const bool is_suspected =
        std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
          return crash.service_ == service && crash.parts_.contains(part);
        });
    if (rows_.contains(key) || (is_suspected && !is_known)) {
      Clear(now, key);
      news.push_back(part);
    }
  }
  return news;
}

bool PartQuarantine::Matches(const Row& row,
                             const std::vector<PromptPartId>& parts) {
  return std::all_of(
      row.with_.begin(), row.with_.end(), [&parts](const PromptPartId& with) {
        return std::find(parts.begin(), parts.end(), with) != parts.end();
      });
}

TimePoint PartQuarantine::TrialAt(const Row& row) const {
  return row.trial_at_ + kTrialTime * static_cast<int64_t>(gateway_index_);
}

std::optional<Duration> PartQuarantine::UntilTrial(
    TimePoint now, const std::string& service,
    const std::vector<PromptPartId>& parts) const {
  std::optional<Duration> longest;
  for (const PromptPartId& part : parts) {
    const auto row = rows_.find(Key(service, part));
    if (row != rows_.end() && Matches(row->second, parts) &&
        now < TrialAt(row->second)) {
      longest =
          std::max(longest.value_or(Duration()), TrialAt(row->second) - now);
    }
  }
  return longest;
}

bool PartQuarantine::OnSent(TimePoint now, const std::string& service,
                            const std::vector<PromptPartId>& parts) {
  bool is_trial = false;
  for (const PromptPartId& part : parts) {
    const auto row = rows_.find(Key(service, part));
    if (row != rows_.end() && Matches(row->second, parts)) {
      row->second.trial_at_ = now + kTrialTime;
      is_trial = true;
    }
  }
  return is_trial;
}

void PartQuarantine::Expire(TimePoint now) {
  while (!crashes_.empty() && now - crashes_.front().at_ > kMemory) {
    crashes_.pop_front();
  }
  std::erase_if(answered_, [now](const auto& item) {
    return now - item.second > kMemory;
  });
  // Nobody has sent a prompt with the part for as long as its quarantine.
  const size_t dropped = std::erase_if(rows_, [now](const auto& item) {
    return now - item.second.trial_at_ > item.second.length_;
  });
  if (dropped > 0) {
    UpdateDigest();
  }
}

void PartQuarantine::UpdateDigest() {
  digest_ = 0;
  for (const auto& [key, row] : rows_) {
    const std::string text = key.first + "\n" + key.second.Value();
    digest_ ^= XXH3_64bits(text.data(), text.size());
  }
}

PartTable PartQuarantine::Table(TimePoint now) const {
  PartTable table;
  for (const auto& [key, row] : rows_) {
    table.quarantined_.push_back(
        QuarantinedPart{key.first,
                        key.second,
                        {row.with_.begin(), row.with_.end()},
                        now - row.crashed_,
                        row.trial_at_ - now,
                        row.length_});
  }
  for (const auto& [key, answered] : answered_) {
    table.answered_.push_back(
        AnsweredPart{key.first, key.second, now - answered});
  }
  return table;
}

void PartQuarantine::Merge(TimePoint now, const PartTable& table) {
  for (const QuarantinedPart& theirs : table.quarantined_) {
    const Key key(theirs.service_, theirs.part_);
    const TimePoint crashed = now - theirs.crash_age_;
    const auto answered = answered_.find(key);
    const auto own = rows_.find(key);
    const bool is_news =
        (answered == answered_.end() || answered->second < crashed) &&
        (own == rows_.end() ? rows_.size() < kMostRows
                            : own->second.crashed_ < crashed);
    if (is_news) {
      rows_[key] = Row{{theirs.with_.begin(), theirs.with_.end()},
                       crashed,
                       now + theirs.until_trial_,
                       theirs.length_};
    }
  }
  for (const AnsweredPart& theirs : table.answered_) {
    const Key key(theirs.service_, theirs.part_);
    const TimePoint at = now - theirs.age_;
    const auto own = rows_.find(key);
    if (own != rows_.end() && own->second.crashed_ < at) {
      Clear(at, key);
    }
  }
  UpdateDigest();
}

}  // namespace gv

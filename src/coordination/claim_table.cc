/** @file claim_table.cc Durable at-most-once claims. */
#include "coordination/claim_table.h"

#include <vector>

namespace gv {
namespace {

constexpr uint32_t kChunkVersion = 1;
constexpr Duration kFullRetryAfter = 60_s;

}  // namespace

void ClaimTable::IndexRow(const Row& row) {
  const Age age{row.changed_ms_, row.token_};
  const Key key{row.team_, row.key_};
  by_age_[age] = key;
  if (!row.body_.empty()) {
    answered_[age] = key;
  }
}

void ClaimTable::Touch(int64_t cluster_ms, Row& row) {
  by_age_.erase({row.changed_ms_, row.token_});
  row.changed_ms_ = cluster_ms;
  IndexRow(row);
}

void ClaimTable::Erase(std::map<Key, Row>::iterator it) {
  const Age age{it->second.changed_ms_, it->second.token_};
  answer_bytes_ -= it->second.body_.size();
  by_age_.erase(age);
  answered_.erase(age);
  rows_.erase(it);
}

void ClaimTable::DropAnswer(Row& row) {
  answered_.erase({row.changed_ms_, row.token_});
  answer_bytes_ -= row.body_.size();
  row.body_ = std::string();
  row.state_ = ClaimState::kUnknown;
}

ClaimReply ClaimTable::Grant(int64_t cluster_ms, const ClaimBegin& claim,
                             FencingToken token, Row& row) {
  by_age_.erase({row.changed_ms_, row.token_});
  row.team_ = claim.team_;
  row.key_ = claim.key_;
  row.digest_ = claim.digest_;
  row.request_ = claim.request_;
  row.target_ = claim.target_;
  row.token_ = token;
  row.state_ = ClaimState::kStarted;
  Touch(cluster_ms, row);
  ClaimReply reply;
  reply.request_ = claim.request_;
  reply.granted_ = true;
  reply.token_ = token;
  reply.state_ = ClaimState::kStarted;
  reply.owner_request_ = claim.request_;
  reply.target_ = claim.target_;
  return reply;
}

ClaimReply ClaimTable::Describe(const ClaimBegin& claim, const Row& row) {
  ClaimReply reply;
  reply.request_ = claim.request_;
  reply.token_ = row.token_;
  reply.state_ = row.state_;
  reply.owner_request_ = row.request_;
  reply.target_ = row.target_;
  reply.http_status_ = row.http_status_;
  reply.body_ = row.body_;
  return reply;
}

ClaimReply ClaimTable::Begin(int64_t cluster_ms, const ClaimBegin& claim,
                             FencingToken token) {
  const auto it = rows_.find(Key{claim.team_, claim.key_});
  if (it == rows_.end() && rows_.size() >= kMaxClaimRows) {
    ClaimReply reply;
    reply.request_ = claim.request_;
    reply.verdict_ = NotRun(Reason::kOverloaded, "too many claims are kept");
    reply.verdict_.retry_after_ = kFullRetryAfter;
    return reply;
  }
  if (it == rows_.end()) {
    return Grant(cluster_ms, claim, token, rows_[Key{claim.team_, claim.key_}]);
  }
  Row& row = it->second;
  if (row.digest_ != claim.digest_) {
    ClaimReply reply;
    reply.request_ = claim.request_;
    reply.state_ = row.state_;
    reply.verdict_ = NotRun(Reason::kConflict,
                            "the key was used with "
                            "another body");
    return reply;
  }
  const bool own =
      row.state_ == ClaimState::kStarted && row.request_ == claim.request_;
  if (own && row.target_ == claim.target_) {
    ClaimReply reply = Describe(claim, row);
    reply.granted_ = true;
    return reply;
  }
  if (own) {
    return Grant(cluster_ms, claim, token, row);
  }
  return Describe(claim, row);
}

void ClaimTable::Finish(int64_t cluster_ms, const ClaimFinish& finish) {
  const auto it = rows_.find(Key{finish.team_, finish.key_});
  if (it == rows_.end() || it->second.token_ != finish.token_ ||
      it->second.state_ == ClaimState::kFinished) {
    return;
  }
  Row& row = it->second;
  if (finish.state_ == ClaimState::kFree) {
    Erase(it);
    return;
  }
  if (finish.state_ == ClaimState::kStarted) {
    return;
  }
  row.state_ = finish.state_;
  if (finish.state_ == ClaimState::kFinished) {
    row.http_status_ = finish.http_status_;
    row.body_ = finish.body_;
    answer_bytes_ += row.body_.size();
  }
  Touch(cluster_ms, row);
}

void ClaimTable::Expire(int64_t cluster_ms, Duration keep) {
  while (!by_age_.empty()) {
    const auto oldest = by_age_.begin();
    const bool old = cluster_ms - oldest->first.first > keep.Ms();
    if (!old) {
      break;
    }
    Erase(rows_.find(oldest->second));
  }
  while (answer_bytes_ > kMaxAnswerBytes) {
    DropAnswer(rows_.at(answered_.begin()->second));
  }
}

void ClaimTable::Save(std::string& out) const {
  std::vector<Row> rows;
  rows.reserve(rows_.size());
  for (const auto& [key, row] : rows_) {
    rows.push_back(row);
  }
  AppendChunk(MakeChunk(kChunkTag, kChunkVersion, rows), out);
}

Result<void> ClaimTable::Load(const SaveChunk& chunk) {
  auto rows = ReadRows<Row>(chunk);
  if (!rows.has_value()) {
    return rows.error();
  }
  rows_.clear();
  by_age_.clear();
  answered_.clear();
  answer_bytes_ = 0;
  for (Row& row : rows.value()) {
    const Key key{row.team_, row.key_};
    IndexRow(row);
    answer_bytes_ += row.body_.size();
    rows_[key] = std::move(row);
  }
  return boost::outcome_v2::success();
}

}  // namespace gv

/** @file evacuation_set.cc Text forms of orders and of the set. */
#include "coordination/gateway/evacuation_set.h"

#include <algorithm>
#include <charconv>

namespace gv {
namespace {

/** Configurations begin with a digit, retries with "retries ". */
constexpr std::string_view kOrderPrefix = "evacuate ";
constexpr std::string_view kWithdrawalPrefix = "evacuate-end ";
constexpr std::string_view kSnapshotPrefix = "evacuations ";

/** @return True if @p text begins with @p prefix, which is then removed. */
bool TakePrefix(std::string_view& text, std::string_view prefix) {
  if (text.substr(0, prefix.size()) != prefix) {
    return false;
  }
  text.remove_prefix(prefix.size());
  return true;
}

}  // namespace

bool IsDataCentreName(std::string_view name) {
  // Locale-independent, unlike std::isalnum.
  constexpr std::string_view kAllowed =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";
  return !name.empty() && name.size() <= kMaxDataCentreNameBytes &&
         name.find_first_not_of(kAllowed) == std::string_view::npos;
}

std::string EncodeEvacuationEntry(const EvacuationOrder& order) {
  return std::string(order.withdrawn_ ? kWithdrawalPrefix : kOrderPrefix) +
         order.data_centre_.Value();
}

std::optional<EvacuationOrder> DecodeEvacuationEntry(std::string_view bytes) {
  EvacuationOrder order;
  if (!TakePrefix(bytes, kOrderPrefix)) {
    if (!TakePrefix(bytes, kWithdrawalPrefix)) {
      return std::nullopt;
    }
    order.withdrawn_ = true;
  }
  if (!IsDataCentreName(bytes)) {
    return std::nullopt;
  }
  order.data_centre_ = DataCentreId(std::string(bytes));
  return order;
}

bool EvacuationSet::Apply(const EvacuationOrder& order, uint64_t revision) {
  if (revision <= revision_) {
    return false;
  }
  const bool changed = order.withdrawn_
                           ? data_centres_.erase(order.data_centre_) > 0
                           : data_centres_.insert(order.data_centre_).second;
  if (changed) {
    revision_ = revision;
  }
  return changed;
}

bool EvacuationSet::Replace(const EvacuationSet& other) {
  if (other.revision_ <= revision_) {
    return false;
  }
  *this = other;
  return true;
}

std::string EvacuationSet::Names() const {
  std::string names;
  for (const DataCentreId& data_centre : data_centres_) {
    names += names.empty() ? "" : ",";
    names += data_centre.Value();
  }
  return names;
}

EvacuationSet EvacuationSet::FromNames(uint64_t revision,
                                       std::string_view names) {
  EvacuationSet set;
  set.revision_ = revision;
  while (!names.empty()) {
    const size_t comma = names.find(',');
    const std::string_view name = names.substr(0, comma);
    if (!name.empty()) {
      set.data_centres_.insert(DataCentreId(std::string(name)));
    }
    names.remove_prefix(comma == std::string_view::npos ? names.size()
                                                        : comma + 1);
  }
  return set;
}

std::string EvacuationSet::EncodeSnapshotHead() const {
  return revision_ == 0 ? ""
                        : std::string(kSnapshotPrefix) +
                              std::to_string(revision_) + " " + Names() + "\n";
}

std::optional<EvacuationSet> EvacuationSet::TakeSnapshotHead(
    std::string_view& snapshot) {
  if (!TakePrefix(snapshot, kSnapshotPrefix)) {
    return EvacuationSet();
  }
  uint64_t revision = 0;
  const char* const end = snapshot.data() + snapshot.size();
  const auto [rest, error] = std::from_chars(snapshot.data(), end, revision);
  const size_t line = snapshot.find('\n');
  const auto digits = static_cast<size_t>(rest - snapshot.data());
  if (error != std::errc() || line == std::string_view::npos ||
      digits >= line || *rest != ' ') {
    return std::nullopt;
  }
  const std::string_view names = snapshot.substr(digits + 1, line - digits - 1);
  EvacuationSet set = FromNames(revision, names);
  const bool are_names =
      std::all_of(set.data_centres_.begin(), set.data_centres_.end(),
                  [](const DataCentreId& data_centre) {
                    return IsDataCentreName(data_centre.Value());
                  });
  if (revision == 0 || !are_names || set.Names() != names) {
    return std::nullopt;
  }
  snapshot.remove_prefix(line + 1);
  return set;
}

}  // namespace gv

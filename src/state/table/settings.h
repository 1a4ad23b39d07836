/** @file settings.h One row for each kind of path in the settings tree. */
#pragma once

#include <array>

#include "state/enum_names.h"
#include "state/settings_type.h"

namespace gv {

inline constexpr std::array<EnumName<SettingType>, 5> kSettingTypeNames{{
    {SettingType::kInt, "number"},
    {SettingType::kFlag, "flag"},
    {SettingType::kPriority, "priority"},
    {SettingType::kModels, "models"},
    {SettingType::kKeyHash, "key hash"},
}};

inline constexpr auto kSettingRows = std::to_array<SettingRow>({
    {"teams.*.share", SettingType::kInt, "", 1, 1'000'000, "1",
     "Weight of the team's share of the fleet when capacity is short."},
    {"teams.*.limits.tokens_per_second", SettingType::kInt, "tokens/s", 0,
     1'000'000'000, "0",
     "Prompt and output tokens a second over all entries; 0 for no limit."},
    {"teams.*.limits.concurrent", SettingType::kInt, "requests", 0, 1'000'000,
     "0", "Requests in progress over all entries; 0 for no limit."},
    {"teams.*.priority", SettingType::kPriority, "", 0, 0, "interactive",
     "Most urgent priority that the team's requests may ask for."},
    {"teams.*.models", SettingType::kModels, "", 0, 0, "",
     "Models and services that the team may call, with @VERSION where only "
     "one version is meant; empty for all."},
    {"teams.*.keys.*", SettingType::kKeyHash, "", 0, 0, "",
     "SHA-256 of one API key of the team, in lower-case hex."},
    {"targets.*.drain", SettingType::kFlag, "", 0, 0, "false",
     "The target gets no new work."},
    {"data_centres.*.drain", SettingType::kFlag, "", 0, 0, "false",
     "The targets of the data centre get no new work."},
    {"routing.long_share_percent", SettingType::kInt, "%", 0, 100, "50",
     "Largest part of an engine's memory that long prompts may hold."},
    {"routing.long_prompt_tokens", SettingType::kInt, "tokens", 1'000,
     10'000'000, "100000", "Prompts from this length on are long."},
    {"limits.lease_ms", SettingType::kInt, "ms", 500, 60'000, "2000",
     "Length of an entry's lease on a part of a team's limit."},
    {"session.lease_ms", SettingType::kInt, "ms", 500, 5'000, "2000",
     "Length of the settings lease of entries and agents."},
    {"claims.keep_ms", SettingType::kInt, "ms", 60'000, 2'592'000'000,
     "86400000", "How long a claim on an idempotency key is kept."},
    {"changes.keep_ms", SettingType::kInt, "ms", 60'000, 2'592'000'000,
     "86400000", "How long the first answer to a change id is kept."},
    {"history.keep_revisions", SettingType::kInt, "revisions", 10, 100'000,
     "1000", "Revisions that history, diff and undo can reach."},
    {"admission.queue_per_team", SettingType::kInt, "requests", 1, 1'000'000,
     "1000", "Requests of one team that may wait in one entry."},
    {"admission.retry_percent", SettingType::kInt, "%", 0, 100, "10",
     "Retries that an entry may send, as a part of its first attempts."},
});

}  // namespace gv

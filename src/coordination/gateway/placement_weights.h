/** @file placement_weights.h Thresholds and penalties of prompt placement.
 * Penalties are in milliseconds of predicted time to the first event; those in
 * intervals are multiples of FullIntervalMs() of the engine. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "state/clock_type.h"

namespace gv {

/** Prompts with a longer prefill are placed as long prompts, away from short
 * answers, which they would interrupt for that time. */
inline constexpr double kLongPromptIntervals = 2;
/** Longest part of a long prompt, unless it has all the helpers that it may. */
inline constexpr double kMaxLongPartIntervals = 1.25;
/** The same for a short prompt. */
inline constexpr double kMaxShortPartIntervals = 1;
/** Fraction of the slots that short streams should occupy, so that decode
 * passes stay short. */
inline constexpr double kShortSlotUtilisation = 0.75;
/** Greatest fraction of the time that engines spend on prefill, so that queues
 * stay short. */
inline constexpr double kPrefillUtilisation = 0.8;
/** Fraction of the KV memory beyond which an engine may have to preempt. */
inline constexpr double kMaxMemoryUtilisation = 0.88;
/** Greatest fraction of one engine's KV memory for one reservation. */
inline constexpr double kMaxReservationShare = 0.45;
/** Average fraction of KV memory in use at engines that own long prompts. */
inline constexpr double kOwnerMemoryUtilisation = 0.4;
/** Penalty for placing a short prompt on another gateway's engines. Load
 * reports lag, so at peak load all gateways would otherwise choose the same
 * engine within one report period. */
inline constexpr double kOtherGatewayEngineMs = 400;
/** Penalty instead for the one gateway that an engine has beside its own. */
inline constexpr double kSecondGatewayEngineMs = 50;
/** Short prompts with a longer predicted wait at their gateway's own engines
 * may go to any engine. A little more than the wait at an engine with one free
 * slot. */
inline constexpr double kMaxOwnEngineWaitIntervals = 2;
/** Least time that a short prompt must gain at another gateway's engine, whose
 * load this gateway knows less exactly. */
inline constexpr double kMinOtherEngineGainMs = 40;
/** Penalty of engines for long prompts when a gateway places a short prompt on
 * any engine. */
inline constexpr double kLongZonePenaltyMs = 30;
/** Penalty of engines for long prompts when the leader places a short prompt:
 * each engine that decodes a short answer takes only small parts of long
 * prompts. */
inline constexpr double kLeaderLongZonePenaltyIntervals = 1;
/** Approximate increase of the event interval next to the answer of a long
 * prompt. */
inline constexpr double kLongAnswerPenaltyMs = 40;
/** Greatest penalty that depends on request and engine, so that gateways with
 * the same reports choose different engines. */
inline constexpr double kMaxRequestJitterMs = 40;
/** Preference for the own data centre: about the delay one way. */
inline constexpr double kOtherDataCentrePenaltyMs = 4;
/** Ranks suspected targets behind all others. */
inline constexpr double kSuspectedPenaltyMs = 1e6;
/** Ranks engines without room behind all that have some. */
inline constexpr double kNoRoomPenaltyMs = 1e5;
/** A reader with no more prefill than this counts as free: sending it the next
 * part takes about as long, so it continues without a pause. */
inline constexpr double kMaxFreeReaderPrefillMs = 40;
/** An engine takes another part only with at most so many parts of prompts
 * without a first event, as engines may be slower than predicted. One of these
 * parts has usually been prefilled already. */
inline constexpr int64_t kMaxOpenParts = 1;
/** A long prompt is placed once one in so many idle engines is free: with fewer
 * its parts become longer, with more the free ones wait meanwhile. */
inline constexpr size_t kFreeReaderDivisor = 3;
/** Penalty of an engine that owns no prompt yet, as it is lost as a reader. */
inline constexpr double kNewOwnerPenaltyIntervals = 0.65;
/** Longest part of a long prompt on an engine, by Placer::DecodeKind: how long
 * the answers that it decodes may be interrupted. */
inline constexpr std::array<double, 3> kMaxPartIntervals{1e6, 4, 1.25};
/** Penalty for a long prompt per short stream in progress at an engine. */
inline constexpr double kShortStreamPenaltyMs = 10;
/** Penalty of a failed request, times the failure rate: what a second attempt
 * costs, among all other engines. */
inline constexpr double kFailurePenaltyMs = 300;
/** Penalty per stream in progress, as each makes decode passes a little longer.
 */
inline constexpr double kStreamPenaltyMs = 3;
inline constexpr double kMsPerSecond = 1000;
/** Queued prompts are placed once a tick, so a permit is used up to this much
 * later than it is there. */
inline constexpr double kPermitUseDelayMs = 50;
/** Odd constant of multiplicative hashing: 2^64 divided by the golden ratio. */
inline constexpr uint64_t kHashMultiplier = 0x9E3779B97F4A7C15ULL;
/** Time saved by an idle connection: a new one needs its handshake and a round
 * trip between data centres before the prompt can be sent. */
inline constexpr double kConnectionSetupMs = 15;
/** Greatest age of the rows of an engine table, one tick of a gateway: reports,
 * warm-ups and pauses change without a change counter. */
inline constexpr Duration kMaxRowAge = 50_ms;

}  // namespace gv

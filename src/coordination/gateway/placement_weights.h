/** @file placement_weights.h Weights of the decisions where prompts go. */
#pragma once

#include <cstddef>
#include <cstdint>

#include "state/clock_type.h"

namespace gv {

/** Prompts that take longer are read away from short answers: a pause of this
 * length between two events still meets the objective of short streams. */
inline constexpr double kLongPrefillMs = 200;
/** Longest part of a long prompt that one engine reads in one go. */
inline constexpr double kLongPartMs = 120;
/** The same on engines that write short answers. */
inline constexpr double kShortPartMs = 100;
/** Streams of short answers for each slot at which passes stay short. */
inline constexpr double kShortFill = 0.75;
/** Engines read for this part of the time at most, so that queues stay short.
 */
inline constexpr double kPrefillFill = 0.8;
/** Part of the memory beyond which an engine may have to preempt. */
inline constexpr double kMemoryFill = 0.88;
/** Part of one engine's memory that one reservation takes at most. */
inline constexpr double kReservationFill = 0.45;
/** Memory of engines that own long prompts is filled so far on average. */
inline constexpr double kOwnerFill = 0.4;
/** Short prompts go to another gateway's engines only if they start earlier by
 * this time: reports are a little old, and at a crest all gateways would choose
 * the same engine within one period. */
inline constexpr double kOtherHomeMs = 400;
/** The same for the one gateway that an engine has beside its own. */
inline constexpr double kSecondHomeMs = 50;
/** Short prompts that their gateway's own engines would start later than this
 * go to any other: a little more than the start at an engine with all but one
 * slot taken. */
inline constexpr double kAnywhereMs = 170;
/** They start earlier there by this much at least, as the gateway knows less of
 * the engines of others. */
inline constexpr double kAnywhereGainMs = 40;
/** Engines of long prompts are taken after those of short ones. */
inline constexpr double kBorderMs = 30;
/** The leader spills short prompts over the border only if they start earlier
 * there by this time: three prompts that wait for their first event at each
 * engine still meet an objective of 300 ms, and each engine that writes a short
 * answer is lost for long prompts. */
inline constexpr double kSpillMs = 90;
/** Beside the answer of a long prompt passes are longer by about this time. */
inline constexpr double kBesideLongMs = 40;
/** Each request sees each engine worse by up to this time, so that gateways
 * with the same reports choose different ones. */
inline constexpr double kSpreadMs = 40;
/** Costs one way between data centres, as a preference only. */
inline constexpr double kOtherDataCentreMs = 4;
/** Keeps suspected targets behind all others. */
inline constexpr double kSuspectedMs = 1e6;
/** Puts engines without room behind all that have some. */
inline constexpr double kNoRoomMs = 1e5;
/** A reader with so much left takes the next part without a pause: it takes
 * about this time until the part reaches it. */
inline constexpr double kReaderFreeMs = 40;
/** Parts of prompts that wait for their first event at one engine, if engines
 * are slower than predicted; one of them is usually read already. */
inline constexpr int64_t kMostOpenParts = 1;
/** A long prompt begins once one in so many readers is free: with fewer its
 * parts become longer, with more the free ones idle meanwhile. */
inline constexpr size_t kBeginWith = 3;
/** An engine that owns nothing yet is a reader lost; about a pass. */
inline constexpr double kNewOwnerMs = 60;
/** Engines that write short answers read no long prompts, as a part makes a
 * pause that is late for these; but one in so many engines reads in any case.
 */
inline constexpr size_t kLeastReaders = 2;
/** For each short stream that still writes at an engine. */
inline constexpr double kLeftOverMs = 10;
/** What a failed request costs: about its objective. */
inline constexpr double kFailureMs = 300;
/** A stream that writes makes each pass a little longer. */
inline constexpr double kStreamMs = 3;
inline constexpr double kMsPerSecond = 1000;
/** Odd constant of multiplicative hashing: 2^64 divided by the golden ratio. */
inline constexpr uint64_t kMixer = 0x9E3779B97F4A7C15ULL;
/** A new connection takes its handshake and a way there and back between data
 * centres before the prompt can follow. */
inline constexpr double kKeptConnectionMs = 15;
/** Rows of engines are computed anew after this time, a tick of a gateway:
 * reports, warm-ups and pauses change without a sign. */
inline constexpr Duration kRowsAge = 50_ms;

}  // namespace gv

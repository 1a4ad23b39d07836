/** @file process_limits.cc Reads the limits of the settings and the machine. */
#include "transport/gateway/process_limits.h"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>

namespace gv {
namespace {

/** Part of the memory that requests, answers and connections may hold. The rest
 * is for the program, its tables, the log and the system's socket buffers. */
constexpr size_t kMemoryDivisor = 5;
constexpr size_t kMegabyte = 1UL << 20;
/** Descriptors for files: log, data, settings, event queues. */
constexpr size_t kReservedForFiles = 200;
/** Where fewer than twice as many are allowed, half are for files. */
constexpr size_t kSmallDivisor = 2;
/** Callers get two fifths. As much is left for targets and known peers, as each
 * request in progress takes one connection of either kind. */
constexpr size_t kCallersNumerator = 2;
constexpr size_t kCallersDivisor = 5;
/** Each of three services, and peers before their proof, get a twentieth. */
constexpr size_t kServiceDivisor = 20;
/** Where the system names no limit. */
constexpr size_t kUnlimitedDescriptors = 65536;
/** Blocks from this size on are mapped, and unmapped when they are freed. */
constexpr int kMappedFromBytes = 256 << 10;
/** Free bytes at the end of the heap that are kept. */
constexpr int kKeptAtEndBytes = 1 << 20;

}  // namespace

size_t MemoryLimit(const ProcessSettings& settings) {
  const auto set = static_cast<size_t>(settings.gateway_memory_mb_);
  struct sysinfo machine {};
  if (set == 0 && ::sysinfo(&machine) == 0) {
    return machine.totalram * machine.mem_unit / kMemoryDivisor;
  }
  constexpr size_t kUnknownMachine = 256;
  return (set > 0 ? set : kUnknownMachine) * kMegabyte / kMemoryDivisor;
}

DescriptorShares ShareDescriptors(size_t descriptors) {
  const size_t sockets =
      descriptors - std::min(kReservedForFiles, descriptors / kSmallDivisor);
  DescriptorShares shares;
  shares.callers_ =
      std::max<size_t>(1, sockets * kCallersNumerator / kCallersDivisor);
  shares.service_ = std::max<size_t>(1, sockets / kServiceDivisor);
  shares.unproven_ = shares.service_;
  return shares;
}

size_t DescriptorLimit(const ProcessSettings& settings) {
  const auto set = static_cast<size_t>(settings.gateway_max_descriptors_);
  struct rlimit system {};
  size_t allowed = kUnlimitedDescriptors;
  if (::getrlimit(RLIMIT_NOFILE, &system) == 0 &&
      system.rlim_cur != RLIM_INFINITY) {
    allowed = system.rlim_cur;
  }
  return set > 0 ? std::min(set, allowed) : allowed;
}

void ReturnFreedMemory() {
  ::mallopt(M_MMAP_THRESHOLD, kMappedFromBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptAtEndBytes);
}

}  // namespace gv

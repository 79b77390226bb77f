// Ids and units that several modules share.

#ifndef PLANTAIN_CORE_TYPE_H_
#define PLANTAIN_CORE_TYPE_H_

#include <chrono>
#include <cstdint>

#include "strong_type.h"

namespace plantain {

// Id of a VM in the platform's VM list.
using VmId = StrongString<struct VmIdTag>;
// Name of an availability zone.
using ZoneName = StrongString<struct ZoneNameTag>;
// Name of a region, a group of zones.
using RegionName = StrongString<struct RegionNameTag>;
// Label of a group of endpoint VMs in the VM list.
using PoolName = StrongString<struct PoolNameTag>;
using ModelName = StrongString<struct ModelNameTag>;
// Name of an adapter of a model; empty stands for the base model.
using AdapterName = StrongString<struct AdapterNameTag>;
using VersionName = StrongString<struct VersionNameTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
using WorkspaceName = StrongString<struct WorkspaceNameTag>;
// Id that a caller gives to a request; the same id marks the caller's own retry.
using RequestId = StrongString<struct RequestIdTag>;
// Raw 32 bytes of a SHA-256 digest. Text forms use hex.
using Digest = StrongString<struct DigestTag>;
// IPv4 or IPv6 address in text form.
using IpAddress = StrongString<struct IpAddressTag>;

// One attempt of an entry at an agent. Unique within one traffic thread of one entry.
using AttemptId = StrongNumber<struct AttemptIdTag, uint64_t>;
// Version of the configuration document; the first accepted publish makes version 1.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, uint64_t>;
// Place of a record in a stream of the platform's log.
using LogOffset = StrongNumber<struct LogOffsetTag, uint64_t>;
// Start time of a process in microseconds since the epoch; tells two runs on the same VM apart.
using Incarnation = StrongNumber<struct IncarnationTag, uint64_t>;
// Fencing token of an order to an engine; an engine that checks refuses one below the largest that it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag, uint64_t>;

using Bytes = StrongNumber<struct BytesTag, uint64_t>;
using BytesPerSecond = StrongNumber<struct BytesPerSecondTag, double>;
using Port = StrongNumber<struct PortTag, uint16_t>;

using Duration = std::chrono::nanoseconds;
using Milliseconds = std::chrono::milliseconds;
// Monotonic time; see GetMonotonicTime.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Wall-clock time.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

// Returns a duration in seconds, as metrics and rates want it.
inline double ToSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

// Returns a duration in whole milliseconds, as logs want it.
inline int64_t ToMilliseconds(Duration time) { return std::chrono::duration_cast<Milliseconds>(time).count(); }

}  // namespace plantain

#endif  // PLANTAIN_CORE_TYPE_H_

// Data types and interfaces through which other modules read the members of the fleet.

#ifndef PLANTAIN_MEMBER_TYPE_H_
#define PLANTAIN_MEMBER_TYPE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core_type.h"

namespace plantain {

enum class MemberKind { kUnknown, kEntry, kEndpoint };

enum class MemberState { kUnknown, kStarting, kServing, kLeaving, kSuspect, kDead };

// A set of weights at an endpoint.
struct HoldingInfo {
  ModelName model;
  AdapterName adapter;
  Digest manifest;
  // True once the engine has confirmed exactly this manifest and requests are admitted.
  bool is_serving = false;
  // Fraction of the chunks that are present, in thousandths.
  uint32_t permille = 0;

  bool operator==(const HoldingInfo&) const = default;
};

// Known state of one VM.
struct MemberInfo {
  VmId vm;
  ZoneName zone;
  RegionName region;
  PoolName pool;
  MemberKind kind = MemberKind::kUnknown;
  // Address that is reachable from this process's own zone, taken from the VM list or the seeds.
  IpAddress address;
  Incarnation incarnation;
  MemberState state = MemberState::kUnknown;
  ConfigVersion config_version;
  std::vector<HoldingInfo> holdings;
  ServiceName service;
  uint32_t limit = 0;
  uint32_t in_flight = 0;
  bool is_cold = false;
  // Time since the last heartbeat at the creation of the view; Duration::max() if none was received.
  Duration silence{};
};

// Capacity and load of one model in one zone.
struct ZoneModelInfo {
  ModelName model;
  Digest manifest;
  // Number of endpoints that serve the model, and the sums of their limits and of their requests in progress.
  uint32_t serving = 0;
  uint32_t limit = 0;
  uint32_t in_flight = 0;
};

// Models served by one zone, as seen by one of its entries. Large fleets exchange this instead of the state of each
// endpoint.
struct ZoneSummaryInfo {
  ZoneName zone;
  VmId reporter;
  uint64_t sequence = 0;
  std::vector<ZoneModelInfo> models;
};

// Snapshot of all known members. Immutable.
struct MemberView {
  uint64_t generation = 0;
  std::vector<MemberInfo> members;
  // Summaries of other zones. The members of these zones may be missing from `members`.
  std::vector<ZoneSummaryInfo> zones;
};

// Provides the members of the fleet.
class MemberSource {
 public:
  virtual ~MemberSource() = default;

  // Returns the latest view; never null. Thread-safe.
  virtual std::shared_ptr<const MemberView> GetMembers() const = 0;

  // Calls `listener` on the control thread after each change. Must be called before Start.
  virtual void AddMemberListener(std::function<void(const std::shared_ptr<const MemberView>&)> listener) = 0;
};

// State that a process reports to its peers about itself.
struct SelfState {
  MemberState state = MemberState::kStarting;
  std::vector<HoldingInfo> holdings;
  uint32_t limit = 0;
  uint32_t in_flight = 0;
  bool is_cold = false;
};

// Provides the state of this process. Called on the control thread before each heartbeat.
class SelfSource {
 public:
  virtual ~SelfSource() = default;
  virtual SelfState GetSelfState() const = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_MEMBER_TYPE_H_

// Selects the endpoint for an attempt by load. Load reports arrive with a delay, so the entry corrects them by its own
// attempts in flight.

#ifndef PLANTAIN_ROUTE_CHOOSE_H_
#define PLANTAIN_ROUTE_CHOOSE_H_

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "clock.h"
#include "entry_type.h"
#include "prefix_affinity.h"
#include "random.h"
#include "route_table.h"

namespace plantain {

struct RouteOptions {
  // Maximum number of requests that this traffic loop has in flight in other zones, to protect the shared link.
  uint32_t spill_limit = 64;
  // Maximum number of recent requests at one endpoint, as a multiple of the mean over its group.
  double load_cap = 1.25;
  // Backoff after a refusal; doubles with each consecutive refusal, up to the maximum.
  Duration refusal_backoff = Milliseconds(50);
  Duration max_refusal_backoff = Milliseconds(2000);
  // Maximum number of prompt prefixes whose endpoints are remembered.
  size_t max_prefixes = 100'000;
};

// Load of an endpoint as reported by its agent, in requests.
struct LoadReport {
  uint32_t limit = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  bool is_cold = false;
};

// Input of one endpoint selection.
struct RouteQuery {
  RouteKey key;
  PrefixHashes prefix;
  // If set, only endpoints that serve these weights are eligible. Used to resume a stream.
  std::optional<Digest> manifest;
  // Endpoints that this request has already tried.
  std::span<const VmId> excluded;
};

// Reason why no endpoint was selected.
enum class RouteFailure { kUnknownKey, kNoEndpoint, kAllBackedOff, kAllFull };

// The selected endpoint, or the reason why there is none.
struct RouteChoice {
  std::optional<VmId> vm;
  RouteFailure failure = RouteFailure::kNoEndpoint;
  // Delay before the next try if no endpoint was selected.
  Duration retry_after{};
  bool is_spill = false;
};

// Total concurrency limit and queue length of the endpoints that serve one key, in requests.
struct RouteCapacity {
  uint32_t endpoints = 0;
  uint32_t limit = 0;
  uint32_t queued = 0;
};

// Selects endpoints for one traffic loop. Not thread-safe.
class RouteChooser {
 public:
  RouteChooser(const Clock& clock, Random& random, RouteOptions options);

  // Replaces the table. The state of endpoints that are in both tables is kept.
  void SetTable(std::shared_ptr<const RouteTable> table);

  RouteChoice Choose(const RouteQuery& query);

  // Track the number of attempts in flight. `attempt_time` is the duration of the attempt.
  void OnAttemptStarted(const VmId& vm);
  void OnAttemptEnded(const VmId& vm, Duration attempt_time);

  void OnLoad(const VmId& vm, const LoadReport& load);
  // Starts the backoff of an endpoint that refused an attempt or failed. Lasts at least `retry_after`, which is bounded
  // by the maximum backoff.
  void OnRefused(const VmId& vm, Duration retry_after);
  void OnSuccess(const VmId& vm);
  // Excludes an endpoint whose agent announced a shutdown, until the VM appears with another incarnation.
  void OnLeaving(const VmId& vm);

  // Returns the totals over all endpoints that serve a key, for admission control at the entry.
  RouteCapacity GetCapacity(const RouteKey& key) const;

 private:
  // State of one VM of the table.
  struct VmState {
    Incarnation incarnation;
    uint32_t own_in_flight = 0;
    // Requests of other entries according to the last report, and the time of that report.
    uint32_t others_in_flight = 0;
    TimePoint report_at;
    uint32_t limit = 0;
    uint32_t queued = 0;
    bool is_cold = false;
    bool is_leaving = false;
    uint32_t refusals = 0;
    TimePoint backoff_until;
    // Exponentially decaying count of the requests sent by this loop, as of recent_updated_at.
    double recent_requests = 0;
    TimePoint recent_updated_at;
  };

  // Eligible candidates of one zone, as indexes into m_states, and the ratio of other entries' requests to the total
  // limit.
  struct Group {
    std::vector<size_t> indexes;
    double others_per_slot = 0;
  };

  VmState* FindState(const VmId& vm);
  bool IsEligible(const RouteCandidate& candidate, const RouteQuery& query, TimePoint now, RouteChoice& result) const;
  Group CollectGroup(const RouteCandidates& candidates, size_t& next, const RouteQuery& query, TimePoint now,
                     RouteChoice& result) const;
  std::optional<size_t> ChooseInGroup(const Group& group, const RouteQuery& query, TimePoint now);
  Group FilterByCap(const Group& group, TimePoint now);
  std::optional<size_t> ChooseByPrefix(const Group& group, const PrefixHashes& prefix) const;
  std::optional<size_t> FindPrefixEndpoint(const Group& group, uint64_t prefix_hash) const;
  size_t ChooseByLoad(const Group& group);
  void RecordChoice(size_t vm_index, const RouteQuery& query, TimePoint now);
  double GetRecentRequests(VmState& state, TimePoint now) const;
  void UpdateFromHeartbeat(VmState& state, const RouteVm& vm) const;
  void UpdateOthersRatio(Group& group) const;
  double EstimateLoad(size_t vm_index, const Group& group) const;
  double EstimateRelativeLoad(size_t vm_index, const Group& group) const;
  bool IsFull(size_t vm_index) const;
  // Returns own attempts plus the reported requests of other entries, which decay with the age of the report.
  double GetObservedLoad(const VmState& state) const;
  static uint32_t GetLimit(const VmState& state);

  const Clock& m_clock;
  Random& m_random;
  const RouteOptions m_options;
  std::shared_ptr<const RouteTable> m_table;
  // In the order of RouteTable::GetVms.
  std::vector<VmState> m_states;
  std::map<VmId, size_t> m_index;
  PrefixAffinityTable m_prefix_affinity;
  // Attempts in flight in other zones, without those at VMs that the table no longer lists.
  uint32_t m_spill_in_flight = 0;
  // Moving average of the attempt duration; scales the decay of load reports.
  Duration m_mean_attempt_time;
};

}  // namespace plantain

#endif  // PLANTAIN_ROUTE_CHOOSE_H_

// Rollout policy: decides when a VM may stop serving to swap weights.

#ifndef PLANTAIN_ROLLOUT_H_
#define PLANTAIN_ROLLOUT_H_

#include <deque>
#include <optional>

#include "clock.h"
#include "document_type.h"
#include "engine_gate.h"
#include "gate_type.h"
#include "member_type.h"

namespace plantain {

enum class SwapDecision { kGo, kWaitForView, kWaitForWave, kWaitForFloor, kWaitForCapacity, kPaused };

// Returns the name of the decision as used in logs.
const char* GetSwapDecisionName(SwapDecision decision);

// VM that requests to swap, and the weights that it is going to load.
struct SwapQuery {
  VmId vm;
  ZoneName zone;
  PoolName pool;
  WeightSlot slot;
  Digest manifest;
};

// Time from a VM being ready to swap until it may do so. VMs of a pool become ready at about the same time, since they
// fetch chunks from each other. This time covers four gossip rounds, after which each VM knows which others are ready
// and which swaps began before its own. Without it, all VMs would swap at once.
inline constexpr Duration kReadinessSettle = std::chrono::seconds(2);

// Decides using only this VM's membership view. VMs of a pool and zone that have all chunks are ranked by rendezvous
// hash, so that VMs with equal views agree on the order. A VM swaps only while its view shows that the required minimum
// of VMs keeps serving. It also waits for a bounded time until the VMs that keep serving have capacity for the current
// load of the pool: this slows a rollout down while newly loaded VMs are cold, does not delay an idle pool, and cannot
// stop a rollout under overload.
class RolloutPolicy {
 public:
  explicit RolloutPolicy(const Clock& clock, Duration settle = kReadinessSettle) : m_clock(clock), m_settle(settle) {}

  // Records a sample of the request counters, from which the error rate is computed.
  void OnAdmission(const AdmissionReport& report);

  // Returns whether the VM in `query` may swap now, or what it waits for. `view` is the membership view of that VM.
  SwapDecision Decide(const Document& document, const MemberView& view, const SwapQuery& query);

  // Returns the share of failed requests in the error window, or 0 if there were too few requests to judge.
  double GetErrorShare() const;

 private:
  struct Sample {
    TimePoint time;
    uint64_t succeeded;
    uint64_t failed;
  };

  bool IsReadinessSettled(const Digest& manifest);
  bool IsCapacityWaitOver(RolloutPriority priority);

  const Clock& m_clock;
  const Duration m_settle;
  // Weights that this VM is ready to load, and the time at which it became ready.
  Digest m_ready_manifest;
  TimePoint m_ready_since;
  std::deque<Sample> m_samples;
  // Time since which only a lack of capacity has prevented this VM from swapping.
  std::optional<TimePoint> m_capacity_short_since;
};

}  // namespace plantain

#endif  // PLANTAIN_ROLLOUT_H_

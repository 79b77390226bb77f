#include "rollout.h"

#include <algorithm>
#include <cmath>

#include "document_func.h"
#include "placement.h"
#include "rendezvous.h"

namespace plantain {
namespace {

// Long enough to collect a sufficient number of requests on an endpoint with little traffic.
constexpr Duration kErrorWindow = std::chrono::seconds(10);
// With fewer requests, a single failure would exceed the usual limit of the error rate.
constexpr uint64_t kMinRequests = 20;
constexpr uint32_t kAllChunksPermille = 1000;
// Required ratio of the concurrency limits of the VMs that keep serving to the requests in flight.
constexpr double kCapacityHeadroom = 1.5;
// Maximum time that a VM waits for capacity. About the warm-up time of an engine, since the wait is for newly loaded
// engines to warm up.
constexpr Duration kUrgentCapacityWait = std::chrono::seconds(2);
constexpr Duration kRoutineCapacityWait = std::chrono::seconds(20);

// State of one pool in one zone.
struct PoolCounts {
  size_t members = 0;
  size_t serving = 0;
  // VMs that have all chunks but do not serve the slot, which is the state during a swap.
  size_t swapping = 0;
  // VMs that have all chunks, still serve another version and rank before the querying VM.
  size_t ahead = 0;
  // Sum of the concurrency limits of the other serving VMs, and of the requests in flight on all VMs.
  uint64_t capacity = 0;
  uint64_t in_flight = 0;
};

bool IsServingSlot(const MemberInfo& member, const WeightSlot& slot) {
  return std::any_of(member.holdings.begin(), member.holdings.end(), [&](const HoldingInfo& holding) {
    return holding.is_serving && holding.model == slot.model && holding.adapter == slot.adapter;
  });
}

bool IsReadyToSwap(const MemberInfo& member, const Digest& manifest) {
  return std::any_of(member.holdings.begin(), member.holdings.end(), [&](const HoldingInfo& holding) {
    return holding.manifest == manifest && !holding.is_serving && holding.permille >= kAllChunksPermille;
  });
}

PoolCounts CountPool(const MemberView& view, const SwapQuery& query) {
  const uint64_t key_hash = HashName(query.manifest.Get());
  const uint64_t own_score = ScoreCandidate(key_hash, HashName(query.vm.Get()));
  PoolCounts count;
  for (const MemberInfo& member : view.members) {
    if (member.zone != query.zone || member.pool != query.pool || !IsMemberAlive(member)) continue;
    ++count.members;
    count.in_flight += member.in_flight;
    const bool is_ready = member.vm != query.vm && IsReadyToSwap(member, query.manifest);
    if (!IsServingSlot(member, query.slot)) {
      if (is_ready) ++count.swapping;
      continue;
    }
    ++count.serving;
    if (member.vm != query.vm) count.capacity += member.limit;
    if (is_ready && ScoreCandidate(key_hash, HashName(member.vm.Get())) > own_score) ++count.ahead;
  }
  return count;
}

size_t GetWaveSize(const RolloutSpec& spec, size_t members) {
  return std::max<size_t>(1, static_cast<size_t>(std::floor(spec.wave * static_cast<double>(members))));
}

// Returns the number of VMs that must keep serving. At least one VM may always swap, since a floor of 100 % would block
// every rollout.
size_t GetFloorSize(const RolloutSpec& spec, size_t members) {
  if (members == 0) return 0;
  return std::min(members - 1, static_cast<size_t>(std::ceil(spec.floor * static_cast<double>(members))));
}

}  // namespace

const char* GetSwapDecisionName(SwapDecision decision) {
  switch (decision) {
    case SwapDecision::kGo:
      return "go";
    case SwapDecision::kWaitForView:
      return "wait_for_view";
    case SwapDecision::kWaitForWave:
      return "wait_for_wave";
    case SwapDecision::kWaitForFloor:
      return "wait_for_floor";
    case SwapDecision::kWaitForCapacity:
      return "wait_for_capacity";
    case SwapDecision::kPaused:
      return "paused";
  }
  return "unknown";
}

void RolloutPolicy::OnAdmission(const AdmissionReport& report) {
  const TimePoint now = m_clock.GetNow();
  m_samples.push_back({now, report.succeeded, report.failed});
  while (m_samples.size() > 2 && now - m_samples[1].time >= kErrorWindow) m_samples.pop_front();
}

double RolloutPolicy::GetErrorShare() const {
  if (m_samples.size() < 2) return 0;
  const uint64_t failed = m_samples.back().failed - m_samples.front().failed;
  const uint64_t total = failed + m_samples.back().succeeded - m_samples.front().succeeded;
  return total < kMinRequests ? 0 : static_cast<double>(failed) / static_cast<double>(total);
}

SwapDecision RolloutPolicy::Decide(const Document& document, const MemberView& view, const SwapQuery& query) {
  if (!IsZoneInService(document, query.zone)) return SwapDecision::kGo;
  if (GetErrorShare() > document.rollout.pause_error_share) return SwapDecision::kPaused;
  if (!IsReadinessSettled(query.manifest)) return SwapDecision::kWaitForView;
  const PoolCounts count = CountPool(view, query);
  if (count.swapping + count.ahead >= GetWaveSize(document.rollout, count.members)) return SwapDecision::kWaitForWave;
  if (count.serving < GetFloorSize(document.rollout, count.members) + count.ahead + 1) {
    return SwapDecision::kWaitForFloor;
  }
  const double needed = kCapacityHeadroom * static_cast<double>(count.in_flight);
  const bool is_capacity_short = count.members > 1 && static_cast<double>(count.capacity) < needed;
  if (is_capacity_short && !IsCapacityWaitOver(document.rollout.priority)) return SwapDecision::kWaitForCapacity;
  m_capacity_short_since.reset();
  return SwapDecision::kGo;
}

bool RolloutPolicy::IsReadinessSettled(const Digest& manifest) {
  if (m_ready_manifest != manifest) {
    m_ready_manifest = manifest;
    m_ready_since = m_clock.GetNow();
  }
  return m_clock.GetNow() - m_ready_since >= m_settle;
}

bool RolloutPolicy::IsCapacityWaitOver(RolloutPriority priority) {
  const TimePoint now = m_clock.GetNow();
  if (!m_capacity_short_since.has_value()) m_capacity_short_since = now;
  const Duration limit = priority == RolloutPriority::kUrgent ? kUrgentCapacityWait : kRoutineCapacityWait;
  return now - *m_capacity_short_since >= limit;
}

}  // namespace plantain

#include "fair_share.h"

#include <algorithm>
#include <cmath>

namespace plantain {
namespace {

// Time constant of the moving average of requests in flight. Longer than most requests, so that a share below one
// request is averaged over several requests.
constexpr double kUsageTimeConstantS = 1;
// Time after a refusal during which a workspace counts as demanding more than its share.
constexpr Duration kContentionTime = Milliseconds(1000);
constexpr Duration kShareInterval = Milliseconds(10);
// Minimum interval between two decreases, since refusals that come together have the same cause.
constexpr Duration kDecreaseInterval = Milliseconds(200);
constexpr Duration kIncreaseInterval = Milliseconds(50);
constexpr double kOverloadDecreaseFactor = 0.85;
constexpr double kQueueDecreaseFactor = 0.98;
constexpr double kIncreaseStep = 0.02;
// Step while the factor is below 1. The even share of the capacity is safe while entries share the demand, so that the
// limit returns to it faster.
constexpr double kFastIncreaseStep = 0.05;
constexpr double kMinFactor = 0.1;
// Fraction of the endpoints' limits that may wait in their queues beyond the planned number: enough to keep engines
// busy between two requests without adding much to the time to first token.
constexpr double kMaxQueuedShare = 0.25;
// Up to this multiple of the limit, workspaces clearly below their share are still admitted.
constexpr double kBurstLimitFactor = 1.5;
constexpr double kBurstShareFraction = 0.9;
// While the limit is not reached, a workspace may exceed its share by this factor, so that fluctuations in the demand
// of others leave no capacity unused.
constexpr double kShareSlack = 1.1;
// Below this fraction of the limit all requests are admitted, also under contention, so that no capacity is unused.
constexpr double kUncontendedFraction = 0.7;
// Fraction of the limit and of each share that callers' retries may use.
constexpr double kRetryFraction = 0.8;
constexpr Duration kOverloadRetryAfter = Milliseconds(500);

}  // namespace

void FairShare::SetWeight(const WorkspaceName& workspace, double weight) { m_states[workspace].weight = weight; }

void FairShare::SetCapacity(double capacity, size_t loops, double queued_share) {
  m_max_factor = static_cast<double>(std::max<size_t>(loops, 1));
  m_even_share = capacity / m_max_factor;
  m_queued_share = queued_share;
  const TimePoint now = m_clock.GetNow();
  if (queued_share <= kMaxQueuedShare || now - m_decreased_at < kIncreaseInterval) return;
  m_decreased_at = now;
  m_factor = std::max(kMinFactor, m_factor * kQueueDecreaseFactor);
}

double FairShare::GetLimit() const { return std::max(1.0, m_even_share * m_factor); }

AdmitResult FairShare::Admit(const WorkspaceName& workspace, bool is_retry) {
  State& state = m_states[workspace];
  if (m_in_flight + 1 >= GetLimit() && !is_retry) IncreaseLimit();
  if (!CanAdmit(state, is_retry)) {
    m_refused_at = m_clock.GetNow();
    // A refused retry is no evidence that the workspace gets less than its share.
    if (!is_retry) state.refused_at = m_refused_at;
    return {EntryFailure::kOverloaded, kOverloadRetryAfter};
  }
  GetUsage(state);
  ++state.in_flight;
  ++m_in_flight;
  return {};
}

bool FairShare::IsContended() const { return m_clock.GetNow() - m_refused_at < kContentionTime; }

bool FairShare::CanAdmit(State& state, bool is_retry) {
  const double limit = GetLimit() * (is_retry ? kRetryFraction : 1);
  if (m_in_flight < kUncontendedFraction * limit) return true;
  if (m_in_flight < limit && !IsContended()) return true;
  const double share = GetShare(state) * (is_retry ? kRetryFraction : 1);
  if (m_in_flight < limit) return GetUsage(state) < kShareSlack * share;
  if (m_in_flight >= std::ceil(kBurstLimitFactor * limit)) return false;
  // The moving average lags behind, so the current number in flight bounds bursts.
  return GetUsage(state) < kBurstShareFraction * share && state.in_flight < std::ceil(share);
}

void FairShare::OnFinished(const WorkspaceName& workspace) {
  State& state = m_states[workspace];
  if (state.in_flight == 0) return;
  GetUsage(state);
  --state.in_flight;
  --m_in_flight;
}

double FairShare::GetUsage(State& state) const {
  const TimePoint now = m_clock.GetNow();
  const double elapsed = std::chrono::duration<double>(now - state.usage_updated_at).count();
  if (elapsed > 0) {
    state.usage = state.in_flight + (state.usage - state.in_flight) * std::exp(-elapsed / kUsageTimeConstantS);
    state.usage_updated_at = now;
  }
  return state.usage;
}

double FairShare::GetShare(const State& state) {
  if (m_clock.GetNow() - m_shares_updated_at >= kShareInterval) UpdateShares();
  return m_share_per_weight * state.weight;
}

// Divides the capacity that workspaces without recent refusals do not use among the recently refused ones by weight.
void FairShare::UpdateShares() {
  const TimePoint now = m_clock.GetNow();
  m_shares_updated_at = now;
  double unused = GetLimit();
  double weights = 0;
  double largest = 0;
  for (auto& [name, state] : m_states) {
    const bool is_contending = now - state.refused_at < kContentionTime;
    if (is_contending) weights += state.weight;
    if (!is_contending) unused -= GetUsage(state);
    largest = std::max(largest, state.weight);
  }
  // The divisor is at least the largest weight, for a workspace whose next request may be the first to be refused.
  m_share_per_weight = std::max(unused, 0.0) / std::max(weights, largest);
}

void FairShare::OnOverload() {
  const TimePoint now = m_clock.GetNow();
  if (now - m_decreased_at < kDecreaseInterval) return;
  m_decreased_at = now;
  m_factor = std::max(kMinFactor, m_factor * kOverloadDecreaseFactor);
}

void FairShare::IncreaseLimit() {
  const TimePoint now = m_clock.GetNow();
  if (m_queued_share > kMaxQueuedShare || now - m_decreased_at < kDecreaseInterval) return;
  if (now - m_increased_at < kIncreaseInterval) return;
  m_increased_at = now;
  m_factor = std::min(m_max_factor, m_factor + (m_factor < 1 ? kFastIncreaseStep : kIncreaseStep));
}

}  // namespace plantain

#include "fair_share.h"

#include <algorithm>
#include <cmath>

namespace plantain {
namespace {

// Time constant of the moving average of requests in flight. Longer than most requests, so that a share below one
// request is averaged over several requests.
constexpr double kUseTimeS = 1;
// Time after a refusal during which a workspace counts as demanding more than its share.
constexpr Duration kHungryTime = Milliseconds(1000);
constexpr Duration kShareInterval = Milliseconds(10);
// Minimum interval between two decreases, since refusals that come together have the same cause.
constexpr Duration kLowerInterval = Milliseconds(200);
constexpr Duration kRaiseInterval = Milliseconds(50);
constexpr double kOverloadFactor = 0.85;
constexpr double kQueueFactor = 0.98;
constexpr double kRaiseStep = 0.02;
// Step while the factor is below 1. The even share of the capacity is safe while entries share the demand, so that the
// limit returns to it faster.
constexpr double kQuickRaiseStep = 0.05;
constexpr double kMinFactor = 0.1;
// Fraction of the endpoints' limits that may wait in their queues beyond the planned number: enough to keep engines
// busy between two requests without adding much to the time to first token.
constexpr double kQueuedShare = 0.25;
// Up to this multiple of the limit, workspaces clearly below their share are still admitted.
constexpr double kHardFactor = 1.5;
constexpr double kBelowShare = 0.9;
// While the limit is not reached, a workspace may exceed its share by this factor, so that fluctuations in the demand
// of others leave no capacity unused.
constexpr double kShareSlack = 1.1;
// Below this fraction of the limit all requests are admitted, also under contention, so that no capacity is unused.
constexpr double kFreePart = 0.7;
// Fraction of the limit and of each share that callers' retries may use.
constexpr double kRetryPart = 0.8;
constexpr Duration kOverloadRetryAfter = Milliseconds(500);

}  // namespace

void FairShare::SetWeight(const WorkspaceName& workspace, double weight) { m_states[workspace].weight = weight; }

void FairShare::SetCapacity(double capacity, size_t loops, double queued_share) {
  m_max_factor = static_cast<double>(std::max<size_t>(loops, 1));
  m_even_part = capacity / m_max_factor;
  m_queued_share = queued_share;
  const TimePoint now = m_clock.GetNow();
  if (queued_share <= kQueuedShare || now - m_lowered_at < kRaiseInterval) return;
  m_lowered_at = now;
  m_factor = std::max(kMinFactor, m_factor * kQueueFactor);
}

double FairShare::GetPart() const { return std::max(1.0, m_even_part * m_factor); }

AdmitResult FairShare::Admit(const WorkspaceName& workspace, bool is_retry) {
  State& state = m_states[workspace];
  if (m_in_flight + 1 >= GetPart() && !is_retry) Raise();
  if (!MayEnter(state, is_retry)) {
    m_refused_at = m_clock.GetNow();
    // A refused retry is no evidence that the workspace gets less than its share.
    if (!is_retry) state.refused_at = m_refused_at;
    return {EntryFailure::kOverloaded, kOverloadRetryAfter};
  }
  GetUse(state);
  ++state.in_flight;
  ++m_in_flight;
  return {};
}

bool FairShare::IsContended() const { return m_clock.GetNow() - m_refused_at < kHungryTime; }

bool FairShare::MayEnter(State& state, bool is_retry) {
  const double part = GetPart() * (is_retry ? kRetryPart : 1);
  if (m_in_flight < kFreePart * part) return true;
  if (m_in_flight < part && !IsContended()) return true;
  const double share = GetShare(state) * (is_retry ? kRetryPart : 1);
  if (m_in_flight < part) return GetUse(state) < kShareSlack * share;
  if (m_in_flight >= std::ceil(kHardFactor * part)) return false;
  // The moving average lags behind, so the current number in flight bounds bursts.
  return GetUse(state) < kBelowShare * share && state.in_flight < std::ceil(share);
}

void FairShare::OnFinished(const WorkspaceName& workspace) {
  State& state = m_states[workspace];
  if (state.in_flight == 0) return;
  GetUse(state);
  --state.in_flight;
  --m_in_flight;
}

double FairShare::GetUse(State& state) const {
  const TimePoint now = m_clock.GetNow();
  const double elapsed = std::chrono::duration<double>(now - state.use_at).count();
  if (elapsed > 0) {
    state.use = state.in_flight + (state.use - state.in_flight) * std::exp(-elapsed / kUseTimeS);
    state.use_at = now;
  }
  return state.use;
}

double FairShare::GetShare(const State& state) {
  if (m_clock.GetNow() - m_unit_at >= kShareInterval) UpdateShares();
  return m_unit * state.weight;
}

// Divides the capacity that workspaces without recent refusals do not use among the recently refused ones by weight.
void FairShare::UpdateShares() {
  const TimePoint now = m_clock.GetNow();
  m_unit_at = now;
  double room = GetPart();
  double weights = 0;
  double largest = 0;
  for (auto& [name, state] : m_states) {
    const bool is_hungry = now - state.refused_at < kHungryTime;
    if (is_hungry) weights += state.weight;
    if (!is_hungry) room -= GetUse(state);
    largest = std::max(largest, state.weight);
  }
  // The divisor is at least the largest weight, for a workspace whose next request may be the first to be refused.
  m_unit = std::max(room, 0.0) / std::max(weights, largest);
}

void FairShare::OnOverload() {
  const TimePoint now = m_clock.GetNow();
  if (now - m_lowered_at < kLowerInterval) return;
  m_lowered_at = now;
  m_factor = std::max(kMinFactor, m_factor * kOverloadFactor);
}

void FairShare::Raise() {
  const TimePoint now = m_clock.GetNow();
  if (m_queued_share > kQueuedShare || now - m_lowered_at < kLowerInterval) return;
  if (now - m_raised_at < kRaiseInterval) return;
  m_raised_at = now;
  m_factor = std::min(m_max_factor, m_factor + (m_factor < 1 ? kQuickRaiseStep : kRaiseStep));
}

}  // namespace plantain

#include "attempt_loss_rate.h"

#include <algorithm>
#include <cmath>

namespace plantain {
namespace {

// Time constant with which earlier attempts lose their weight.
constexpr Duration kMemory = std::chrono::seconds(60);
// Runs kept that ended.
constexpr size_t kMaxRuns = 64;

}  // namespace

double AttemptLossRate::GetDecay() const {
  return std::exp(-ToSeconds(m_clock.GetNow() - m_updated_at) / ToSeconds(kMemory));
}

void AttemptLossRate::Decay() {
  const double share = GetDecay();
  m_updated_at = m_clock.GetNow();
  m_kept_s *= share;
  m_earlier_count *= share;
  for (Loss& loss : m_losses) {
    loss.count *= share;
    loss.running_s *= share;
  }
}

void AttemptLossRate::DropFirst() {
  m_earlier_count += m_losses.front().count;
  m_kept_s += m_losses.front().running_s;
  m_losses.pop_front();
}

void AttemptLossRate::OnKept(Duration running_time) {
  Decay();
  m_kept_s += ToSeconds(running_time);
}

void AttemptLossRate::OnLost(EndpointRun run, Duration running_time) {
  Decay();
  auto found = std::find_if(m_losses.begin(), m_losses.end(), [run](const Loss& loss) { return loss.run == run; });
  if (found == m_losses.end()) {
    if (m_losses.size() >= kMaxRuns) DropFirst();
    found = m_losses.insert(m_losses.end(), Loss{run});
  }
  found->count += 1;
  found->running_s += ToSeconds(running_time);
}

void AttemptLossRate::AddTo(AttemptTotals& totals, const std::set<EndpointRun>& excluded) const {
  const double share = GetDecay();
  double running_s = m_kept_s * share;
  totals.other_losses += m_earlier_count * share;
  for (const Loss& loss : m_losses) {
    if (excluded.contains(loss.run)) continue;
    totals.other_losses += loss.count * share;
    running_s += loss.running_s * share;
  }
  totals.other_running += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(running_s));
}

}  // namespace plantain

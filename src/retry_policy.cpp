#include "retry_policy.h"

#include <algorithm>

namespace plantain {
namespace {

constexpr Duration kMinRetryAfter = Milliseconds(50);
constexpr Duration kMaxRetryAfter = Milliseconds(30'000);
// Maximum number of attempts if none could be sent. These attempts add no load to endpoints; the limit only bounds the
// search for a reachable endpoint.
constexpr uint32_t kMaxUnsentAttempts = 8;

}  // namespace

RetryDecision RetryPolicy::Decide(const RetryQuery& query) {
  if (query.outcome == AttemptOutcome::kMayHaveRun && !query.is_idempotent) return {};
  if (query.outcome == AttemptOutcome::kNotSent) return {query.attempts < kMaxUnsentAttempts, Duration{}};
  if (query.attempts >= m_options.max_attempts) return {};
  const Duration delay = MakeBackoff(query.attempts);
  if (m_clock.GetNow() + delay + query.expected >= query.deadline) return {};
  if (!m_budget.TryConsume()) return {};
  return {true, delay};
}

Duration RetryPolicy::MakeBackoff(uint32_t attempts) {
  const uint32_t doublings = std::min(attempts - 1, 10U);
  const Duration ceiling = std::min(m_options.base_backoff * (1 << doublings), m_options.max_backoff);
  return Duration(static_cast<int64_t>(static_cast<double>(ceiling.count()) * m_random.GetUnit()));
}

Milliseconds RetryPolicy::MakeRetryAfter(Duration hint) {
  const Duration base = std::clamp(hint, kMinRetryAfter, kMaxRetryAfter);
  const auto jitter = Duration(static_cast<int64_t>(static_cast<double>(base.count()) * 0.5 * m_random.GetUnit()));
  return std::chrono::duration_cast<Milliseconds>(base + jitter);
}

}  // namespace plantain

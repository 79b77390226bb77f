#include "retry_after.h"

#include <algorithm>

namespace plantain {
namespace {

constexpr Duration kMinRetryAfter = Milliseconds(250);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(3);
constexpr Duration kMaxPausedRetryAfter = std::chrono::seconds(30);
// Time in which a weight switch or a restart, during which few endpoints serve, usually ends.
constexpr Duration kNoEndpointRetryAfter = Milliseconds(1800);
// Time over which the callers of a pool with several priorities are spread, and the least that is left for it before
// kMaxRetryAfter.
constexpr Duration kPrioritySpread = Milliseconds(1800);
constexpr Duration kMinPrioritySpread = Milliseconds(600);

Duration Scale(Duration time, double factor) { return std::chrono::duration_cast<Duration>(time * factor); }

Duration AddPause(Duration usual, Duration pause, Duration spread) {
  if (pause <= Duration::zero()) return usual;
  return std::min<Duration>(std::max<Duration>(usual, pause + spread), kMaxPausedRetryAfter);
}

Duration ComputeByPriority(const RetryAfterQuery& query, double unit) {
  const Duration first =
      std::min<Duration>(std::max<Duration>(query.turn, kMinRetryAfter), kMaxRetryAfter - kMinPrioritySpread);
  const Duration spread = std::min<Duration>(kPrioritySpread, kMaxRetryAfter - first);
  const double place = (static_cast<double>(query.rank) + unit) / static_cast<double>(query.priorities);
  return AddPause(first + Scale(spread, place), query.pause, kMinRetryAfter + Scale(spread, place));
}

}  // namespace

Duration ComputeRetryAfter(const RetryAfterQuery& query, Random& random) {
  const double unit = random.GetUnit();
  if (query.priorities > 1) return ComputeByPriority(query, unit);
  const double jitter = 0.75 + 0.5 * unit;
  const Duration base = std::max<Duration>(query.turn, kNoEndpointRetryAfter);
  const Duration usual = std::clamp<Duration>(Scale(base, jitter), kMinRetryAfter, kMaxRetryAfter);
  return AddPause(usual, query.pause, Scale(kMinRetryAfter, jitter));
}

}  // namespace plantain

#include "retry_after.h"

#include <algorithm>

namespace plantain {
namespace {

constexpr Duration kMinRetryAfter = Milliseconds(250);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(3);
constexpr Duration kMaxPausedRetryAfter = std::chrono::seconds(30);
// About the duration of a weight switch or a restart, during which few endpoints serve. With several priorities, the
// time over which their callers are spread.
constexpr Duration kNoEndpointRetryAfter = Milliseconds(1800);
// Time below the maximum over which callers are spread whose turn is expected later than that.
constexpr Duration kMinSpread = Milliseconds(600);

Duration Scale(Duration time, double factor) { return std::chrono::duration_cast<Duration>(time * factor); }

Duration AddPause(Duration usual, Duration pause, Duration spread) {
  if (pause <= Duration::zero()) return usual;
  return std::min<Duration>(std::max<Duration>(usual, pause + spread), kMaxPausedRetryAfter);
}

Duration ComputeByPriority(const RetryAfterQuery& query, double unit) {
  const Duration first =
      std::min<Duration>(std::max<Duration>(query.turn, kMinRetryAfter), kMaxRetryAfter - kMinSpread);
  const Duration spread = std::min<Duration>(kNoEndpointRetryAfter, kMaxRetryAfter - first);
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

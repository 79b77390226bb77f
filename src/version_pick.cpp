#include "version_pick.h"

#include <algorithm>

namespace plantain {
namespace {

// The last wave of a swap in progress takes at least this share of the swap time.
constexpr double kLastWave = 0.5;

// Returns the oldest version newer than `loaded`, or null.
const WantedWeights* FindFirstBeyond(const std::vector<WantedWeights>& named, WeightVersion loaded) {
  const auto found =
      std::find_if(named.begin(), named.end(), [&](const WantedWeights& wanted) { return wanted.version > loaded; });
  return found == named.end() ? nullptr : &*found;
}

Duration GetGap(TimePoint in_use, TimePoint due) { return std::max(Duration::zero(), in_use - due); }

}  // namespace

WeightVersion PickVersion(const std::vector<WantedWeights>& named, WeightVersion loaded, const VersionTimes& times,
                          TimePoint now) {
  if (named.empty()) return loaded;
  const WantedWeights& newest = named.back();
  const WantedWeights* first = FindFirstBeyond(named, loaded);
  if (first == nullptr || first->version == newest.version) return newest.version;
  // Time without usable weights on any endpoint if the newest version is fetched immediately.
  const TimePoint due = first->since + times.limit;
  const TimePoint newest_at_once = std::max(now, newest.since + times.fetch) + times.swap;
  const Duration gap_at_once = GetGap(newest_at_once, due);
  // The same time if the fetch of the older version is finished first.
  const Duration last_wave = std::chrono::duration_cast<Duration>(times.swap * kLastWave);
  const TimePoint first_fetched = std::max(now, first->since + times.fetch);
  const TimePoint first_in_use = std::max(first->since + times.fetch + times.swap, now + last_wave);
  const TimePoint newest_after = std::max(first_fetched + last_wave, newest.since) + times.fetch + times.swap;
  const Duration gap_in_turn = GetGap(first_in_use, due) + GetGap(newest_after, newest.since + times.limit);
  return gap_in_turn < gap_at_once ? first->version : newest.version;
}

std::optional<TimePoint> GetLoadDeadline(const std::vector<WantedWeights>& named, WeightVersion loaded,
                                         const VersionTimes& times) {
  const WantedWeights* first = FindFirstBeyond(named, loaded);
  if (first == nullptr) return std::nullopt;
  return first->since + times.limit - times.margin;
}

}  // namespace plantain

#include "version_pick.h"

#include <algorithm>

namespace plantain {
namespace {

// The last wave of a swap in progress takes at least this share of the swap time.
constexpr double kLastWaveShare = 0.5;

// Returns the oldest version newer than `loaded`, or null.
const WantedWeights* FindFirstNewer(const std::vector<WantedWeights>& published, WeightVersion loaded) {
  const auto found = std::find_if(published.begin(), published.end(),
                                  [&](const WantedWeights& wanted) { return wanted.version > loaded; });
  return found == published.end() ? nullptr : &*found;
}

Duration GetGap(TimePoint in_use, TimePoint due) { return std::max(Duration::zero(), in_use - due); }

}  // namespace

WeightVersion PickVersion(const std::vector<WantedWeights>& published, WeightVersion loaded, const VersionTimes& times,
                          TimePoint now) {
  if (published.empty()) return loaded;
  const WantedWeights& newest = published.back();
  const WantedWeights* first = FindFirstNewer(published, loaded);
  if (first == nullptr || first->version == newest.version) return newest.version;
  // Time without usable weights on any endpoint if the newest version is fetched immediately.
  const TimePoint due = first->since + times.limit;
  const TimePoint newest_in_use = std::max(now, newest.since + times.fetch) + times.swap;
  const Duration gap_if_newest_first = GetGap(newest_in_use, due);
  // The same time if the fetch of the older version is finished first.
  const Duration last_wave = std::chrono::duration_cast<Duration>(times.swap * kLastWaveShare);
  const TimePoint first_fetched = std::max(now, first->since + times.fetch);
  const TimePoint first_in_use = std::max(first->since + times.fetch + times.swap, now + last_wave);
  const TimePoint newest_in_use_after_first =
      std::max(first_fetched + last_wave, newest.since) + times.fetch + times.swap;
  const Duration gap_if_older_first =
      GetGap(first_in_use, due) + GetGap(newest_in_use_after_first, newest.since + times.limit);
  return gap_if_older_first < gap_if_newest_first ? first->version : newest.version;
}

std::optional<TimePoint> GetLoadDeadline(const std::vector<WantedWeights>& published, WeightVersion loaded,
                                         const VersionTimes& times) {
  const WantedWeights* first = FindFirstNewer(published, loaded);
  if (first == nullptr) return std::nullopt;
  return first->since + times.limit - times.margin;
}

}  // namespace plantain

#include "version_pick.h"

#include <algorithm>

namespace plantain {
namespace {

// The last wave of a swap that has begun takes at least this share of the whole.
constexpr double kLastWave = 0.5;

// Returns the first version beyond `loaded`, or null.
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
  // How long no endpoint would have weights that may be used, if the newest one is fetched at once.
  const TimePoint due = first->since + times.limit;
  const TimePoint newest_at_once = std::max(now, newest.since + times.fetch) + times.swap;
  const Duration gap_at_once = GetGap(newest_at_once, due);
  // The same if the first one is finished before.
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

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

// Two pending versions. The gaps are the times without usable weights on any endpoint.
struct SupersededVersion {
  const WantedWeights& older;
  const WantedWeights& newest;
  const VersionTimes& times;

  // If the fetch of the newest version begins at `start`.
  Duration GetGapIfNewestFirst(TimePoint start) const {
    return GetGap(start + times.fetch + times.swap, older.since + times.limit);
  }

  // If the fetch of the older version is finished first, at `now` at the earliest.
  Duration GetGapIfOlderFirst(TimePoint now) const {
    const Duration last_wave = std::chrono::duration_cast<Duration>(times.swap * kLastWaveShare);
    const TimePoint fetched = std::max(now, older.since + times.fetch);
    const TimePoint in_use = std::max(older.since + times.fetch + times.swap, now + last_wave);
    const TimePoint newest_in_use = std::max(fetched + last_wave, newest.since) + times.fetch + times.swap;
    return GetGap(in_use, older.since + times.limit) + GetGap(newest_in_use, newest.since + times.limit);
  }

  bool IsOlderFirst(TimePoint now) const { return GetGapIfOlderFirst(now) < GetGapIfNewestFirst(now); }
};

}  // namespace

WeightVersion PickVersion(const std::vector<WantedWeights>& published, WeightVersion loaded, const VersionTimes& times,
                          TimePoint now) {
  if (published.empty()) return loaded;
  const WantedWeights& newest = published.back();
  const WantedWeights* first = FindFirstNewer(published, loaded);
  if (first == nullptr || first->version == newest.version) return newest.version;
  const SupersededVersion pair{*first, newest, times};
  if (!pair.IsOlderFirst(newest.since)) return newest.version;
  // The older version was chosen when the newest one was published, so the fetch of the newest one has not begun.
  return pair.IsOlderFirst(now) ? first->version : newest.version;
}

std::optional<TimePoint> GetLoadDeadline(const std::vector<WantedWeights>& published, WeightVersion loaded,
                                         const VersionTimes& times) {
  const WantedWeights* first = FindFirstNewer(published, loaded);
  if (first == nullptr) return std::nullopt;
  return first->since + times.limit - times.margin;
}

}  // namespace plantain

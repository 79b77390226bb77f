// Time during which a loop ran, as opposed to time in which its process was paused or got no processor.

#ifndef PLANTAIN_LOOP_TIME_H_
#define PLANTAIN_LOOP_TIME_H_

#include <algorithm>
#include <optional>

#include "core_type.h"

namespace plantain {

// Advances with the clock, but by at most kMaxStep between two updates. A process that stood still has not read what
// its peers sent meanwhile, so that their silence has to be measured on this time.
class LoopTime {
 public:
  static constexpr Duration kMaxStep = Milliseconds(100);

  // Must be called every few milliseconds while the loop runs.
  void Update(TimePoint now) {
    if (m_updated_at.has_value()) m_elapsed += std::clamp<Duration>(now - *m_updated_at, Duration::zero(), kMaxStep);
    m_updated_at = now;
  }

  // Returns the time that has passed up to the last update.
  Duration GetElapsed() const { return m_elapsed; }

 private:
  std::optional<TimePoint> m_updated_at;
  Duration m_elapsed{};
};

}  // namespace plantain

#endif  // PLANTAIN_LOOP_TIME_H_

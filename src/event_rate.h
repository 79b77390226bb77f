// Events in a second lately, as a sum that decays.

#ifndef PLANTAIN_EVENT_RATE_H_
#define PLANTAIN_EVENT_RATE_H_

#include <optional>

#include "core_type.h"

namespace plantain {

class EventRate {
 public:
  // `memory` is the time constant: older events count ever less.
  explicit EventRate(Duration memory) : m_memory(memory) {}

  void Count(TimePoint now);

  // Returns events/s, or nothing before the first event.
  std::optional<double> Get(TimePoint now) const;

 private:
  Duration m_memory;
  double m_per_s = 0;
  TimePoint m_at;
  bool m_is_known = false;
};

}  // namespace plantain

#endif  // PLANTAIN_EVENT_RATE_H_

// Learned time from sending a request to an endpoint until its answer begins. No I/O.

#ifndef PLANTAIN_FIRST_EVENT_DELAY_H_
#define PLANTAIN_FIRST_EVENT_DELAY_H_

#include "core_type.h"

namespace plantain {

// Load pattern: more requests than slots. Requests then wait until just before they would be late, and what they meet
// at the endpoint decides whether they are. A wait that is a fixed part of the latency target makes all of them late
// once the endpoints take longer than the rest of it, and nothing ends that state while the overload lasts. So the
// delay is learned from answers, and a request waits no longer than its target leaves.
class FirstEventDelay {
 public:
  void Record(Duration delay);

  // Returns a delay that most requests stay below; 0 before the first answer.
  Duration GetEstimate() const { return m_mean + m_deviation; }

 private:
  Duration m_mean{};
  // Mean absolute deviation.
  Duration m_deviation{};
  bool m_is_known = false;
};

}  // namespace plantain

#endif  // PLANTAIN_FIRST_EVENT_DELAY_H_

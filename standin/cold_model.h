// Cold-start model of an engine: warm-up under light load and failure under overload.

#ifndef PLANTAIN_COLD_MODEL_H_
#define PLANTAIN_COLD_MODEL_H_

#include <cstddef>

#include "clock.h"

namespace plantain::standin {

// A cold engine warms up while it has 1 to `cold_capacity` requests in flight, for `warm_time` in total. It fails if it
// has more requests for `overload_time` without interruption. All times come from the given clock.
class ColdModel {
 public:
  struct Limits {
    size_t cold_capacity = 2;
    Duration warm_time = std::chrono::seconds(5);
    Duration overload_time = Milliseconds(300);
  };

  ColdModel(const Clock& clock, Limits limits) : m_clock(clock), m_limits(limits), m_updated_at(clock.GetNow()) {}

  bool IsWarm() const { return m_is_warm; }

  // Returns whether a request in addition to `in_flight` exceeds the capacity of a cold engine.
  bool IsOverLimit(size_t in_flight) const { return !m_is_warm && in_flight >= m_limits.cold_capacity; }

  // Makes the engine cold immediately and resets the warm-up.
  void MakeCold();

  // Makes the engine warm immediately.
  void MakeWarm();

  // Accounts for the time since the last call, during which `in_flight` requests were running or queued, and returns
  // whether the engine fails because of overload. Call before each change of the number and periodically in between.
  bool Update(size_t in_flight);

 private:
  const Clock& m_clock;
  const Limits m_limits;
  bool m_is_warm = false;
  TimePoint m_updated_at;
  Duration m_warming_time{};
  Duration m_overload_time{};
};

}  // namespace plantain::standin

#endif  // PLANTAIN_COLD_MODEL_H_

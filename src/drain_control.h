// When a server that stops may close its listening socket, give up requests and end.

#ifndef PLANTAIN_DRAIN_CONTROL_H_
#define PLANTAIN_DRAIN_CONTROL_H_

#include <cstddef>

#include "core_type.h"

namespace plantain {

// Times from the start of a graceful stop.
struct DrainTimes {
  // Until then callers may not have noticed that the server stops, so that it accepts new connections in any case.
  Duration notice{};
  // From then on idle connections are closed. A caller that is about to use one sees it closed unread.
  Duration close_idle{};
  // The listening socket closes then at the latest, so that what was accepted last has time for its answer.
  Duration stop_listening{};
  // Requests without an answer are answered with a failure then.
  Duration give_up{};
  // The process ends then, whatever is left, once requests were given up.
  Duration end{};
};

// What a server still has to do, counted in one step of the loop that owns its connections.
struct DrainLoad {
  // Requests that have been read and have no complete answer.
  size_t requests = 0;
  size_t connections = 0;
};

// Phases of a stop, in the order in which they are entered. None is left for an earlier one.
enum class DrainPhase {
  kServing,
  // The server is not ready any more but accepts connections, each for one answer.
  kNotifying,
  // Idle connections are closed too.
  kClosingIdle,
  // The listening socket is closed. What has been read is answered, and no connection can come any more.
  kNotListening,
  // Requests without an answer are given up.
  kGivingUp,
  kEnded,
};

// Decides in which phase a stop is. Not thread-safe; used on the loop that owns the connections.
//
// A server ends only if it has no connection while its listening socket is closed, or at the end of the time allowed. A
// count that was taken while it still listened never ends it: a request may have arrived since.
class DrainControl {
 public:
  explicit DrainControl(DrainTimes times) : m_times(times) {}

  // Begins the stop. Later calls do nothing.
  void Begin(TimePoint now);

  // Returns the phase for the server's present load. The caller carries out what the phase asks for, then counts again.
  DrainPhase Update(TimePoint now, const DrainLoad& load);

  DrainPhase GetPhase() const { return m_phase; }
  bool HasBegun() const { return m_phase != DrainPhase::kServing; }

 private:
  DrainPhase FindPhase(Duration passed, const DrainLoad& load) const;

  const DrainTimes m_times;
  TimePoint m_began_at;
  DrainPhase m_phase = DrainPhase::kServing;
};

}  // namespace plantain

#endif  // PLANTAIN_DRAIN_CONTROL_H_

// Decides when a process of a large zone pulls records of one topic, and from which peer. No I/O.

#ifndef PLANTAIN_RECORD_PULL_PLAN_H_
#define PLANTAIN_RECORD_PULL_PLAN_H_

#include <map>
#include <optional>
#include <vector>

#include "clock.h"
#include "core_type.h"
#include "log_position.h"
#include "random.h"

namespace plantain {

enum class PullRole {
  // It reads the store for its zone, and the store answers.
  kReader,
  // Nobody in its zone has answers from the store, and it ranks first.
  kFirst,
  // It gets records from the others of its zone.
  kStandby,
};

// A peer that knows records which this process lacks.
struct PullPeer {
  VmId vm;
  bool is_own_zone = false;
  bool is_entry = false;
  LogPosition newest;
};

enum class PullEnd {
  kReceived,
  // The peer serves as many large batches as it may.
  kRefused,
  kFailed,
};

// A peer to pull from now, or the time after which to decide again. Neither if there is nothing to do before the next
// event.
struct PullStep {
  std::optional<VmId> peer;
  std::optional<Duration> retry_after;
};

// One pull at a time. It asks for everything after a revision, so that records that are superseded meanwhile are never
// transferred. Peers of the own zone come first, a random one of those that know the newest record, so that copies
// spread like an epidemic. A pull that took long is followed by a pause, which leaves the rest of the link to requests.
class RecordPullPlan {
 public:
  // A pause lasts `pause_factor` times as long as the pull before it.
  RecordPullPlan(const Clock& clock, Random& random, double pause_factor)
      : m_clock(clock), m_random(random), m_pause_factor(pause_factor) {}

  // `own` is the newest change that this process knows.
  PullStep Decide(PullRole role, LogPosition own, const std::vector<PullPeer>& peers);
  void OnStarted(const VmId& peer);
  void OnEnded(PullEnd end);

 private:
  // Returns a random duration of at least `min` and less than twice that.
  Duration GetRandomWait(Duration min);
  PullStep Pick(const std::vector<PullPeer>& peers);

  const Clock& m_clock;
  Random& m_random;
  const double m_pause_factor;
  // Since when peers know records that this process lacks, without any progress of its own.
  std::optional<TimePoint> m_behind_since;
  LogPosition m_own;
  // The peer of the pull in flight, if any.
  std::optional<VmId> m_peer;
  TimePoint m_started_at;
  TimePoint m_pause_until;
  // Peers that are not asked until some time, because they refused or failed.
  std::map<VmId, TimePoint> m_avoided;
  // Failed pulls since the last one that a peer answered.
  int m_failures = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_RECORD_PULL_PLAN_H_

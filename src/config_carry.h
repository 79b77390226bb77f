// Decides which entry writes a checkpoint to log stream `config`, and when. No leader is elected. The record type of a
// checkpoint is `Carry`.

#ifndef PLANTAIN_CONFIG_CARRY_H_
#define PLANTAIN_CONFIG_CARRY_H_

#include <optional>
#include <vector>

#include "clock.h"
#include "config_fold.h"

namespace plantain {

// Schedule of one entry. A checkpoint is due when the newest record from which a fold can start is older than half the
// retention time. Each entry waits according to its rendezvous rank. Usually the first one writes, and the others read
// its checkpoint before their own wait ends. Two checkpoints of the same state are harmless.
class CheckpointSchedule {
 public:
  CheckpointSchedule(const Clock& clock, VmId self, Duration retention);

  // Returns whether to write a checkpoint now. `entries` are the entries believed to be alive. Must be called
  // periodically and after each read of the log.
  bool IsDue(const std::optional<FoldStart>& newest_start, const std::vector<VmId>& entries);

  // Records an attempt to write, so that a failed append is retried only after a delay.
  void RecordAttempt();

 private:
  Duration GetDelay(const FoldStart& start, const std::vector<VmId>& entries) const;

  const Clock& m_clock;
  const VmId m_self;
  const Duration m_retention;
  // Start record for which this entry currently waits, and the time at which it was first seen to be too old.
  std::optional<LogOffset> m_expiring_start;
  TimePoint m_expiring_since{};
  std::optional<TimePoint> m_last_attempt;
};

}  // namespace plantain

#endif  // PLANTAIN_CONFIG_CARRY_H_

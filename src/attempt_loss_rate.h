// How often attempts lose their endpoint's run, as a base rate to compare contents with. No I/O.

#ifndef PLANTAIN_ATTEMPT_LOSS_RATE_H_
#define PLANTAIN_ATTEMPT_LOSS_RATE_H_

#include <deque>
#include <set>

#include "clock.h"
#include "crash_report_type.h"

namespace plantain {

// Counts attempts that lost their run, and the time that attempts ran. Earlier ones have less weight.
class AttemptLossRate {
 public:
  explicit AttemptLossRate(const Clock& clock) : m_clock(clock) {}

  // Records an attempt that ended for another reason, after a sign of life of its endpoint at `running_time`.
  void OnKept(Duration running_time);
  // Records an attempt whose endpoint's run ended under it.
  void OnLost(EndpointRun run, Duration running_time);

  // Adds the attempts at all runs that are not in `excluded`.
  void AddTo(AttemptTotals& totals, const std::set<EndpointRun>& excluded) const;

 private:
  // The attempts that one run lost, as of the last update.
  struct Loss {
    EndpointRun run;
    double count = 0;
    double running_s = 0;
  };

  // Adds the earliest run to the sums, in which runs cannot be told apart.
  void DropFirst();
  // Reduces all weights by the time that has passed.
  void Decay();
  // Returns the weight now of what had weight 1 at the last update.
  double GetDecay() const;

  const Clock& m_clock;
  TimePoint m_updated_at;
  // Running time of attempts that were not lost, and of those at runs that are not kept.
  double m_kept_s = 0;
  // The latest runs that ended, and the sum of those before.
  std::deque<Loss> m_losses;
  double m_earlier_count = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_LOSS_RATE_H_

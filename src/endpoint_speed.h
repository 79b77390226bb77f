// Speed of endpoints as their answers show it. No I/O.

#ifndef PLANTAIN_ENDPOINT_SPEED_H_
#define PLANTAIN_ENDPOINT_SPEED_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "pace_type.h"

namespace plantain {

// Load pattern: some endpoints of a pool are a few times slower than the others for about a second, then others are,
// and the lengths of answers vary. The time until an answer begins is taken relative to its expected time, or to the
// usual time of the pool for endpoints without an estimate. The median of the last answers does not move with a single
// slow one, and answers older than a second no longer count, so that an endpoint is tried again and recognised as fast.
// Entries tell each other of slow endpoints, as one of many entries gets few answers from each. Used on one traffic
// loop.
class EndpointSpeeds {
 public:
  explicit EndpointSpeeds(const Clock& clock) : m_clock(clock) {}

  // Takes the listed endpoints with their runs, and forgets others.
  void SetEndpoints(const std::map<EndpointId, Incarnation>& listed);
  // Forgets the reports of entries that are not live.
  void SetEntries(const std::set<VmId>& live);

  // Records an answer that began `delay` after it was sent; `expected` is 0 if there is no estimate. Returns its time
  // relative to the usual one of the pool, or nothing while that is not known.
  std::optional<double> OnAnswerBegun(const EndpointId& id, Incarnation incarnation, const PoolName& pool,
                                      Duration delay, Duration expected);

  // Returns the time until answers of the endpoint begin relative to the usual one of its pool, so 2 is half as fast.
  // Returns nothing if too few recent answers are known.
  std::optional<double> GetSlowness(const EndpointId& id) const;

  // Returns the endpoints that are slow, or were until recently.
  std::vector<SpeedReport> GetReport();
  void ApplyReport(const VmId& from, const std::vector<SpeedReport>& reports);

 private:
  struct Answer {
    TimePoint at;
    double slowness = 1;
  };
  struct Received {
    TimePoint at;
    SpeedReport report;
  };
  struct Observed {
    Incarnation incarnation;
    std::deque<Answer> answers;
    std::map<VmId, Received> received;
    // Until when this entry reports its observation.
    TimePoint report_until;
  };

  std::vector<double> GetOwn(const Observed& observed) const;

  const Clock& m_clock;
  std::map<EndpointId, Observed> m_observed;
  // Last times of each pool, which tell what is usual.
  std::map<PoolName, std::deque<double>> m_usual;
};

}  // namespace plantain

#endif  // PLANTAIN_ENDPOINT_SPEED_H_

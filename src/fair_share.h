// Admission control of an entry under overload: divides the capacity of one route key's endpoints among workspaces by
// weighted fair shares.

#ifndef PLANTAIN_FAIR_SHARE_H_
#define PLANTAIN_FAIR_SHARE_H_

#include <map>

#include "clock.h"
#include "entry_type.h"
#include "workspace_limit.h"

namespace plantain {

// Admission control for one route key on one traffic loop.
//
// The loop's concurrency limit is the sum of the endpoints' limits divided by the number of loops, times an adaptive
// factor. The factor falls while endpoints queue or refuse requests, and rises while the limit is reached and they do
// not, so that a loop with more demand uses capacity that other loops leave free.
//
// While the limit is reached, a workspace is admitted only below its weighted fair share of it. The usage of a
// workspace is its number of requests in flight averaged over about a second, so that shares below one request can be
// enforced. Capacity that workspaces below their share do not use is divided among the others. Not thread-safe.
class FairShare {
 public:
  explicit FairShare(const Clock& clock) : m_clock(clock) {}

  // Sets the weight of a workspace. The default is 1.
  void SetWeight(const WorkspaceName& workspace, double weight);

  // Sets the endpoints' total concurrency limit, the number of loops that share it, and the number of requests that
  // wait in endpoints' queues beyond the planned number, as a fraction of the limit. Must be called regularly.
  void SetCapacity(double capacity, size_t loops, double queued_share);

  // Admits or refuses a request, and counts an admitted one as in flight. A caller's retry is admitted only while some
  // capacity is left for first attempts.
  AdmitResult Admit(const WorkspaceName& workspace, bool is_retry);
  void OnFinished(const WorkspaceName& workspace);

  // Lowers the limit after an endpoint refused an attempt because of overload.
  void OnOverload();

  // Returns the concurrency limit of this loop.
  double GetLimit() const;
  uint32_t GetInFlight() const { return m_in_flight; }

 private:
  struct State {
    double weight = 1;
    uint32_t in_flight = 0;
    // Exponential moving average of in_flight at usage_updated_at.
    double usage = 0;
    TimePoint usage_updated_at;
    // Time of the last refusal of a request that was not a retry.
    TimePoint refused_at;
  };

  bool IsContended() const;
  bool CanAdmit(State& state, bool is_retry);
  double GetUsage(State& state) const;
  double GetShare(const State& state);
  void UpdateShares();
  void IncreaseLimit();

  const Clock& m_clock;
  std::map<WorkspaceName, State> m_states;
  uint32_t m_in_flight = 0;
  double m_even_share = 0;
  double m_queued_share = 0;
  double m_factor = 1;
  double m_max_factor = 1;
  // Fair share at a weight of 1, for workspaces that demand more than their share.
  double m_share_per_weight = 0;
  TimePoint m_shares_updated_at;
  TimePoint m_refused_at;
  TimePoint m_decreased_at;
  TimePoint m_increased_at;
};

}  // namespace plantain

#endif  // PLANTAIN_FAIR_SHARE_H_

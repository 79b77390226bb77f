// Enforces the request rate, concurrency and token rate limits of workspaces at one traffic loop.
//
// The limits apply to all entries together, without a coordinator: each of n live traffic loops enforces 1/n of each
// limit. While all loops see the same membership, the sum exceeds the limit by at most one request per loop, because a
// share below one is rounded up to one so that no workspace is blocked completely. While their views differ, loop i
// sees n_i loops, and the sum is limit * sum(1/n_i). After one of n entries dies, the sum is at most n/(n-1) of the
// limit once all entries have detected it, and never above the limit before that. During a network partition into k
// parts, it is at most k times the limit until the partition heals. If the load balancer sends a loop more than 1/n of
// the traffic, a workspace gets less than its limit there, by the same factor.

#ifndef PLANTAIN_WORKSPACE_LIMIT_H_
#define PLANTAIN_WORKSPACE_LIMIT_H_

#include <map>
#include <vector>

#include "clock.h"
#include "document_type.h"
#include "entry_type.h"

namespace plantain {

// Admission decision: the reason for a refusal and the delay before a retry.
struct AdmitResult {
  EntryFailure failure = EntryFailure::kNone;
  Duration retry_after{};

  bool IsAdmitted() const { return failure == EntryFailure::kNone; }
};

// Tracks the usage of each workspace at one traffic loop. Not thread-safe.
class WorkspaceLimits {
 public:
  explicit WorkspaceLimits(const Clock& clock) : m_clock(clock) {}

  // Applies the limits of a new configuration. Requests in flight stay counted. `loop_count` is the number of traffic
  // loops of all entries, among which the limits are divided.
  void SetLimits(const std::vector<WorkspaceSpec>& specs, size_t loop_count);

  // Returns whether the limits allow a request now, without counting it.
  AdmitResult Check(const EntryRequest& request);

  // Counts a request that Check has allowed as in flight.
  void OnStarted(const EntryRequest& request);

  // Removes a request from the number in flight.
  void OnFinished(const EntryRequest& request);

  // Deducts generated tokens from the token rate of a workspace.
  void OnTokens(const WorkspaceName& workspace, uint32_t count);

  uint32_t GetInFlight(const WorkspaceName& workspace) const;
  bool IsKnown(const WorkspaceName& workspace) const { return m_states.count(workspace) != 0; }

 private:
  // A token bucket with a rate per second. `level` can be negative, because tokens are deducted after they were
  // generated.
  struct TokenBucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    TimePoint refilled_at;
  };

  struct WorkspaceState {
    uint32_t concurrency = 0;
    uint32_t in_flight = 0;
    TokenBucket requests;
    TokenBucket tokens;
    bool is_configured = false;
  };

  void Refill(TokenBucket& bucket) const;
  void SetRate(TokenBucket& bucket, double rate, bool is_new) const;
  static Duration GetWait(const TokenBucket& bucket, double wanted);

  const Clock& m_clock;
  std::map<WorkspaceName, WorkspaceState> m_states;
};

}  // namespace plantain

#endif  // PLANTAIN_WORKSPACE_LIMIT_H_

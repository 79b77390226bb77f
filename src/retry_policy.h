// Decides whether and when a failed attempt is retried.

#ifndef PLANTAIN_RETRY_POLICY_H_
#define PLANTAIN_RETRY_POLICY_H_

#include "clock.h"
#include "core_type.h"
#include "random.h"
#include "retry_budget.h"

namespace plantain {

// Execution state of a failed attempt.
enum class AttemptOutcome {
  // Never sent, so a retry at another endpoint adds no load.
  kNotSent,
  // Refused by the endpoint before any part of it was passed to the engine or service.
  kNotRun,
  // May have run, partially or completely.
  kMayHaveRun,
};

// State of a request after a failed attempt.
struct RetryQuery {
  AttemptOutcome outcome = AttemptOutcome::kMayHaveRun;
  bool is_idempotent = false;
  // Number of attempts so far, including the failed one.
  uint32_t attempts = 1;
  TimePoint deadline;
  // Minimum time to a response under current load. A retry with less time before the deadline would be wasted.
  Duration expected{};
  Duration retry_after{};
};

struct RetryDecision {
  bool is_retry = false;
  // Delay before the next attempt.
  Duration delay{};
};

struct RetryOptions {
  uint32_t max_attempts = 3;
  // Maximum backoff before the second attempt; doubles with each further attempt. Full jitter is applied.
  Duration base_backoff = Milliseconds(5);
  Duration max_backoff = Milliseconds(250);
};

// Decides about retries. Not thread-safe.
class RetryPolicy {
 public:
  RetryPolicy(const Clock& clock, Random& random, RetryBudget& budget, RetryOptions options)
      : m_clock(clock), m_random(random), m_budget(budget), m_options(options) {}

  // Consumes one retry from the budget if it decides to retry. Attempts that were never sent do not use the budget.
  RetryDecision Decide(const RetryQuery& query);

  // Gives back a retry that was consumed and not used.
  void Return() { m_budget.Return(); }

  // Returns the Retry-After time for a refused caller: the bounded hint plus up to half of it as jitter, so that
  // refused callers do not retry at the same time.
  Milliseconds MakeRetryAfter(Duration hint);

 private:
  Duration MakeBackoff(uint32_t attempts);

  const Clock& m_clock;
  Random& m_random;
  RetryBudget& m_budget;
  const RetryOptions m_options;
};

}  // namespace plantain

#endif  // PLANTAIN_RETRY_POLICY_H_

// Time after which a refused caller should come back. No I/O.

#ifndef PLANTAIN_RETRY_AFTER_H_
#define PLANTAIN_RETRY_AFTER_H_

#include <cstddef>

#include "core_type.h"
#include "random.h"

namespace plantain {

struct RetryAfterQuery {
  // Expected time until a request of the caller's priority gets a slot.
  Duration turn{};
  // Time for which all endpoints want no requests; 0 if there is none.
  Duration pause{};
  // Number of priorities of the pool that are more urgent than the caller's, and of all.
  size_t rank = 0;
  size_t priorities = 1;
};

// Returns the time with jitter, which keeps callers that were refused together from retrying together. In a pool with
// several priorities each one has a span of its own, so that urgent callers come back first and the returning load is
// spread. Without a pause the time is at most three seconds.
Duration ComputeRetryAfter(const RetryAfterQuery& query, Random& random);

}  // namespace plantain

#endif  // PLANTAIN_RETRY_AFTER_H_

// Messages about the request rates that endpoints accept from all entries together.

#ifndef PLANTAIN_RATE_GRANT_TYPE_H_
#define PLANTAIN_RATE_GRANT_TYPE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core_type.h"
#include "fleet_type.h"

namespace plantain {

// What an endpoint last stated in a response.
struct RateStatement {
  EndpointId endpoint;
  // Requests/s; unset if the response stated no limit.
  std::optional<double> per_s;
  // Time since the response.
  Duration age{};
};

// Number of requests that one entry may send, in total since the granting entry began to grant.
struct RateGrant {
  VmId entry;
  uint64_t total = 0;
};

// All grants of one granting entry for one endpoint.
struct RateGrantReport {
  EndpointId endpoint;
  // Distinguishes the times at which an entry began to grant; totals of different epochs do not continue each other.
  uint64_t epoch = 0;
  std::vector<RateGrant> grants;
};

// What one entry sends to the others.
struct RateReport {
  std::vector<RateStatement> statements;
  std::vector<RateGrantReport> grants;
};

}  // namespace plantain

#endif  // PLANTAIN_RATE_GRANT_TYPE_H_

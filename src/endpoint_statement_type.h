// What endpoints state in their answers, and messages about it between entries.

#ifndef PLANTAIN_ENDPOINT_STATEMENT_TYPE_H_
#define PLANTAIN_ENDPOINT_STATEMENT_TYPE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core_type.h"
#include "fleet_type.h"

namespace plantain {

// Longer pauses that an endpoint states are taken for this one.
inline constexpr Duration kMaxStatedPause = std::chrono::minutes(10);

// What an endpoint last stated in its responses.
struct EndpointStatement {
  EndpointId endpoint;
  // Requests/s; unset if the response stated no limit.
  std::optional<double> per_s;
  // Time since the response that stated a limit or its end; unset if no response ever stated a limit.
  std::optional<Duration> rate_age;
  // Run of the endpoint to which the rest applies: another run under the same id has stated nothing yet.
  Incarnation incarnation;
  bool is_leaving = false;
  // Time for which it wants no requests, as it told the sender of the report itself; 0 if it did not.
  Duration pause_left{};
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
struct StatementReport {
  std::vector<EndpointStatement> statements;
  std::vector<RateGrantReport> grants;
};

}  // namespace plantain

#endif  // PLANTAIN_ENDPOINT_STATEMENT_TYPE_H_

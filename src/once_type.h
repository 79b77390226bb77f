// Data types of at-most-once calls and their answers.

#ifndef PLANTAIN_ONCE_TYPE_H_
#define PLANTAIN_ONCE_TYPE_H_

#include <functional>
#include <optional>
#include <string>

#include "core_type.h"
#include "refusal_type.h"

namespace plantain {

// Idempotency key qualified by service and workspace, since two workspaces may use the same key.
using OnceKey = StrongString<struct OnceKeyTag>;
// Unique id of a claim: VM, incarnation and a counter.
using ClaimId = StrongString<struct ClaimIdTag>;

struct OnceCall {
  OnceKey key;
  // SHA-256 of service, call and body.
  Digest fingerprint;
  std::string call;
  // The caller's unqualified key, which is passed to the service.
  std::string caller_key;
  std::string body;
  TimePoint deadline;
};

struct OnceOutcome {
  uint32_t status = 0;
  std::string body;
};

// Contains either an outcome or a refusal.
struct OnceAnswer {
  std::optional<OnceOutcome> outcome;
  Refusal refusal;
  // Time that the service took; set only if the call was run for this answer.
  std::optional<Duration> call_time;
  // Whether the service failed during this call; counts against the endpoint's health.
  bool is_service_failure = false;
};

using OnAnswer = std::function<void(const OnceAnswer&)>;

// Result of sending a call to the service.
struct RunResult {
  // False if the service certainly did not receive the call.
  bool is_sent = false;
  // Set if the service responded.
  std::optional<OnceOutcome> outcome;
  Duration call_time{};
};

}  // namespace plantain

#endif  // PLANTAIN_ONCE_TYPE_H_

// Validates an attempt against the configuration and the agent's state before admission.

#ifndef PLANTAIN_ATTEMPT_CHECK_H_
#define PLANTAIN_ATTEMPT_CHECK_H_

#include <optional>

#include "attempt.pb.h"
#include "config_type.h"
#include "core_type.h"

namespace plantain {

// The zone of this agent and the kind of backend it serves.
struct EndpointRole {
  ZoneName zone;
  bool is_service = false;
  // Name of the plain service; empty for an engine.
  ServiceName service;
};

// Execution semantics of a call to a plain service.
enum class CallClass { kUnknownCall, kRepeatable, kAtMostOnce };

// Returns the class of a call. A call is repeatable only if both the configuration document and the entry mark it so;
// otherwise a stale configuration on either side could run an at-most-once call twice.
CallClass GetCallClass(const Document& document, const proto::ServiceCall& call);

// Returns the reason to refuse the attempt, or nullopt if it may proceed. None of these refusals has executed any part
// of the request, so the caller reports them as "not run".
std::optional<proto::RefusalReason> CheckAttempt(const EndpointRole& role, const ConfigView* config, bool is_leaving,
                                                 const proto::AttemptStart& start);

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_CHECK_H_

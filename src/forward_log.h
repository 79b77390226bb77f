// Log lines of the forwarding path.

#ifndef PLANTAIN_FORWARD_LOG_H_
#define PLANTAIN_FORWARD_LOG_H_

#include "active_request.h"
#include "endpoint_statement.h"
#include "forward_attempt.h"
#include "forward_type.h"

namespace plantain {

// Logs a request that was refused before it took a route. `config` is the version in force, 0 if there is none.
void LogRefusedRequest(const ForwardRequest& request, ForwardFailure failure, std::string_view reason, uint64_t config);

// Logs what an endpoint has newly stated.
void LogStatementChange(const EndpointStatements::Change& change);

// Logs statements in a response that are malformed.
void LogMalformedStatements(const EndpointId& endpoint, const ResponseHead& head);

// Logs an attempt that did not succeed.
void LogFailedAttempt(const ActiveRequest& active, const ForwardAttempt& attempt, AttemptEnd end, TimePoint now);

// Logs that an attempt receives nothing.
void LogSilentAttempt(const ActiveRequest& active, const ForwardAttempt& attempt, SilenceFinding finding,
                      TimePoint now);

// Logs a request that has no final answer when the process ends.
void LogUnfinishedRequest(const ActiveRequest& active, TimePoint now);

// Logs the end of a request. `waiting` is the number of requests that wait for its pool.
void LogEndedRequest(const ActiveRequest& active, size_t waiting);

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_LOG_H_

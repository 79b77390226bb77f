// Types of the forwarding path, which passes requests to endpoints unchanged: the fields that an entry reads from
// requests and responses, and the reasons for which a request fails.

#ifndef PLANTAIN_FORWARD_TYPE_H_
#define PLANTAIN_FORWARD_TYPE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "content_key.h"
#include "fleet_type.h"
#include "http_type.h"

namespace plantain {

// A received request and the header fields that routing, admission and retries use.
struct ForwardRequest {
  RequestId id;
  // Value of the Host field without the port.
  std::string host;
  // Request target without the query.
  std::string path;
  // API key that identifies the caller's workspace; empty if none was sent.
  std::string api_key;
  // Time that the caller waits for the response; unset if the request names no deadline.
  std::optional<Duration> caller_timeout;
  ModelName model;
  uint32_t prompt_tokens = 0;
  // Output length that the caller estimates, or its limit on the output if it gives no estimate.
  uint32_t output_tokens = 0;
  // ID of the last stream event that the caller has received.
  std::optional<uint64_t> last_event_id;
  // Parts of the prompt that other requests may share, in order. The limit of a header bounds their number.
  std::vector<ContentKey> shared_parts;
  // Whether the pool shares its slots by priority. A priority that the caller states is not forwarded to such a pool.
  bool has_pool_priorities = false;
  // Priority that the endpoint is told, 0 for the most urgent; unset if it is told none.
  std::optional<uint32_t> endpoint_priority;
  HttpRequest http;
};

// Fields that the entry adds to a request when it sends an attempt.
struct AttemptHeader {
  Duration time_left{};
  EndpointId endpoint;
  // Empty if the request belongs to no workspace.
  WorkspaceName workspace;
  // If set, an endpoint that serves another weight version refuses the attempt.
  std::optional<WeightVersion> version;
  // If set, the stream resumes after this event.
  std::optional<uint64_t> last_event_id;
};

// Status and header of an endpoint's response.
struct ResponseHead {
  int status = 0;
  // False if the response is, or may be, to another request.
  bool has_matching_id = false;
  // Whether the response carries the endpoint's receipt. A success without it is not valid.
  bool has_receipt = false;
  // The endpoint states that it has not run the request and will not run it.
  bool is_not_run = false;
  // The request reached another endpoint than the expected one, or one with another weight version.
  bool is_misdirected = false;
  bool is_stream = false;
  // The body has neither a length nor chunks, so that the end of the connection is its only end.
  bool ends_with_connection = false;
  std::optional<WeightVersion> version;
  // Requests/s that the endpoint takes from all entries together; unset if it states none.
  std::optional<double> requests_per_s;
  // Text of a statement of that rate that is not a number of at least 0; empty if there is none.
  std::string malformed_rate;
  // The endpoint states that it leaves and wants no further requests.
  bool is_leaving = false;
  // Text of a statement of that which is neither 0 nor 1; empty if there is none.
  std::string malformed_leaving;
  // Time for which the endpoint states in a refusal that it wants no requests; 0 if it states none.
  Duration pause{};
  // Text of a statement of that time that is not a number of at least 0; empty if there is none.
  std::string malformed_pause;
  // End-to-end header fields that are passed to the caller.
  HttpHeaders headers;
};

// Maps the platform's HTTP header fields to requests, attempts and responses.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // Parses a request. Fails with kProtocol if a required field is missing or malformed.
  virtual absl::StatusOr<ForwardRequest> ParseRequest(HttpRequest request) const = 0;

  // Builds the HTTP request of one attempt.
  virtual HttpRequest MakeAttemptRequest(const ForwardRequest& request, const AttemptHeader& header) const = 0;

  // `is_kept` tells whether the connection carried other requests before: an answer without an id may then be to one of
  // them.
  virtual ResponseHead ParseResponseHead(const RequestId& id, int status, const HttpHeaders& headers,
                                         bool is_kept) const = 0;
};

// Returns whether a header field is hop-by-hop and must not be forwarded.
bool IsHopByHopField(std::string_view name);

// Returns the end-to-end fields: all except the hop-by-hop fields and those that the Connection field lists.
HttpHeaders RemoveHopByHopFields(const HttpHeaders& headers);

// Reason for which a request ended without a response of an endpoint.
enum class ForwardFailure {
  kNone,
  kMalformed,
  kNoConfig,
  kNoRoute,
  kUnknownKey,
  // The queue is too long for the request to start in time.
  kOverloaded,
  // No eligible endpoint accepts requests.
  kNoEndpoint,
  kDraining,
  // The request was sent and may have run, but its result is not known.
  kUnknownOutcome,
  // The response was truncated or invalid.
  kBrokenAnswer,
  kTimeout,
  // Endpoints crash at the request's content.
  kBlockedContent,
  // The caller disconnected.
  kCallerGone,
};

// Returns the name that logs and metrics use.
std::string_view GetForwardFailureName(ForwardFailure failure);

// Parses a name as returned by GetForwardFailureName. Returns nothing if the name is unknown.
std::optional<ForwardFailure> ParseForwardFailure(std::string_view name);

// Returns the HTTP status for the caller. Statuses 503 and 429 guarantee that the request has not run.
int GetForwardFailureStatus(ForwardFailure failure);

// Builds the error response for a failure. Omits Retry-After if `retry_after` is zero.
HttpResponse MakeForwardErrorResponse(ForwardFailure failure, Duration retry_after);

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_TYPE_H_

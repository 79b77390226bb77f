// Requests that are forwarded as they came, and what an entry reads from them and from their answers.

#ifndef PLANTAIN_FORWARD_TYPE_H_
#define PLANTAIN_FORWARD_TYPE_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "fleet_type.h"
#include "http_type.h"

namespace plantain {

// One request of a caller as received, and the fields that decisions need.
struct ForwardRequest {
  RequestId id;
  // Without its port.
  std::string host;
  // Without its query.
  std::string path;
  // Key of the caller's workspace; empty if none was sent.
  std::string key;
  // How long the caller will wait; nothing if it did not say.
  std::optional<Duration> patience;
  ModelName model;
  uint32_t prompt_tokens = 0;
  // The caller's own guess, or its limit if it gave no guess.
  uint32_t answer_tokens = 0;
  // Last event of a stream that the caller has already got.
  std::optional<uint64_t> last_event;
  HttpRequest http;
};

// What the entry adds to a request for one attempt.
struct AttemptHeader {
  Duration time_left{};
  EndpointId endpoint;
  // Empty if the request belongs to no workspace.
  WorkspaceName workspace;
  // If set, an endpoint with other weights refuses.
  std::optional<WeightVersion> version;
  // If set, the stream goes on after this event.
  std::optional<uint64_t> last_event;
};

// The beginning of an endpoint's answer.
struct AnswerHead {
  int status = 0;
  // False if the answer names another request.
  bool is_own = false;
  // Whether it bears the endpoint's receipt, without which a success counts for nothing.
  bool has_receipt = false;
  // The endpoint says that it did not run the request and never will.
  bool is_not_run = false;
  // The endpoint is not the one that was expected, or has other weights.
  bool is_misdirected = false;
  bool is_stream = false;
  std::optional<WeightVersion> version;
  // End-to-end fields for the caller.
  HttpHeaders headers;
};

// The form in which callers and endpoints speak HTTP: names of header fields and their meaning.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // Reads a request. Fails with kProtocol if a field that must be there is missing or malformed.
  virtual absl::StatusOr<ForwardRequest> ReadRequest(HttpRequest request) const = 0;

  // Makes the request for one attempt.
  virtual HttpRequest MakeAttempt(const ForwardRequest& request, const AttemptHeader& header) const = 0;

  virtual AnswerHead ReadAnswer(const RequestId& id, int status, const HttpHeaders& headers) const = 0;
};

// Returns whether a header field concerns one connection only and must not be passed on.
bool IsHopField(std::string_view name);

// Returns the fields that are passed on: all but those of the connection and those that the Connection field names.
HttpHeaders FilterHopFields(const HttpHeaders& headers);

// Why a request ended without an answer of an endpoint.
enum class ForwardFailure {
  kNone,
  kMalformed,
  kNoConfig,
  kNoRoute,
  kUnknownKey,
  // More work waits than can begin in useful time.
  kOverloaded,
  // No endpoint that may run the request takes work at present.
  kNoEndpoint,
  kDraining,
  // Sent, and may have run; no answer can be given.
  kUnknownOutcome,
  // The answer broke off or was damaged.
  kBrokenAnswer,
  kTimeout,
  // The caller went away.
  kCallerGone,
};

// Returns the failure's name as logs and metrics show it.
std::string_view GetForwardFailureName(ForwardFailure failure);

// Returns the failure of this name, or nothing.
std::optional<ForwardFailure> ParseForwardFailure(std::string_view name);

// Returns the status that the caller gets. Statuses 503 and 429 promise that the request has not run.
int GetForwardFailureStatus(ForwardFailure failure);

// Makes the answer for a failure. `retry_after` is left out if zero.
HttpResponse MakeForwardRefusal(ForwardFailure failure, Duration retry_after);

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_TYPE_H_

// Data types for requests, answers and errors at an entry.

#ifndef PLANTAIN_ENTRY_TYPE_H_
#define PLANTAIN_ENTRY_TYPE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core_type.h"

namespace plantain {

// Reason why a request did not get a complete answer.
enum class EntryFailure {
  kNone,
  kBadRequest,
  kTooLarge,
  kNotFound,
  kUnknownWorkspace,
  kUnknownModel,
  kUnknownService,
  kNoConfig,
  kRateLimited,
  kConcurrencyLimited,
  kTokensLimited,
  kOverloaded,
  kNoEndpoint,
  kDeadline,
  kDraining,
  kUnknownOutcome,
  kInterrupted,
  kEndpointFailed,
  kLogUnavailable,
  // The caller disconnected.
  kCancelled,
};

// Returns the name of a failure in JSON errors and metrics.
std::string_view GetEntryFailureName(EntryFailure failure);

// Returns the HTTP status code for a failure.
int GetEntryFailureStatus(EntryFailure failure);

// Error of a failed request, as reported to the caller.
struct EntryError {
  EntryFailure type = EntryFailure::kNone;
  // True only if it is certain that no endpoint executed any part of the request.
  bool is_not_run = true;
  Milliseconds retry_after{0};
  std::string detail;
};

// Routing key of a request: a model with an optional adapter, or a plain service.
struct RouteKey {
  ModelName model;
  AdapterName adapter;
  ServiceName service;

  auto operator<=>(const RouteKey&) const = default;
};

// A validated request.
struct EntryRequest {
  RequestId id;
  WorkspaceName workspace;
  // Retry number from the X-Attempt header; 0 for the caller's first attempt.
  uint32_t caller_attempt = 0;
  uint32_t priority = 0;
  TimePoint deadline;
  bool is_stream = false;
  RouteKey key;
  // Only for completions.
  std::string prompt;
  uint32_t max_tokens = 0;
  // Only for calls to plain services.
  std::string call;
  std::string body;
  std::string idempotency_key;
  // Whether executing the request twice has the same effect as executing it once.
  bool is_idempotent = true;
  // Hash of target, idempotency key and body. A caller's retry joins a request only if the fingerprints are equal.
  uint64_t fingerprint = 0;

  bool IsCompletion() const { return key.service.IsEmpty(); }
};

// Answer to a request, possibly still incomplete.
struct EntryAnswer {
  std::vector<std::string> tokens;
  // Manifest digest of the weights that generated the tokens; set by the first token.
  Digest manifest;
  // Only for calls to plain services.
  int status = 0;
  std::string body;
  bool is_complete = false;

  // Returns the approximate memory use in bytes.
  size_t GetMemoryBytes() const;
};

// Receives the answer to one request. Called on the traffic loop of the request.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  virtual void OnToken(uint32_t index, const std::string& text, const Digest& manifest) = 0;
  // Exactly one of OnComplete and OnFailed is called, after all tokens.
  virtual void OnComplete(const EntryAnswer& answer) = 0;
  virtual void OnFailed(const EntryError& error) = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_ENTRY_TYPE_H_

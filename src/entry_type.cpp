#include "entry_type.h"

#include <array>

namespace plantain {
namespace {

struct FailureRow {
  EntryFailure failure;
  std::string_view name;
  int status;
};

constexpr std::array kFailureRows = {
    FailureRow{EntryFailure::kNone, "none", 200},
    FailureRow{EntryFailure::kBadRequest, "bad_request", 400},
    FailureRow{EntryFailure::kTooLarge, "too_large", 413},
    FailureRow{EntryFailure::kNotFound, "not_found", 404},
    FailureRow{EntryFailure::kUnknownWorkspace, "unknown_workspace", 403},
    FailureRow{EntryFailure::kUnknownModel, "unknown_model", 404},
    FailureRow{EntryFailure::kUnknownService, "unknown_service", 404},
    FailureRow{EntryFailure::kNoConfig, "no_config", 503},
    FailureRow{EntryFailure::kRateLimited, "rate_limited", 429},
    FailureRow{EntryFailure::kConcurrencyLimited, "concurrency_limited", 429},
    FailureRow{EntryFailure::kTokensLimited, "tokens_limited", 429},
    FailureRow{EntryFailure::kOverloaded, "overloaded", 503},
    FailureRow{EntryFailure::kNoEndpoint, "no_endpoint", 503},
    FailureRow{EntryFailure::kDeadline, "deadline", 504},
    FailureRow{EntryFailure::kDraining, "draining", 503},
    FailureRow{EntryFailure::kUnknownOutcome, "unknown_outcome", 502},
    FailureRow{EntryFailure::kInterrupted, "interrupted", 502},
    FailureRow{EntryFailure::kEndpointFailed, "endpoint_failed", 502},
    FailureRow{EntryFailure::kLogUnavailable, "log_unavailable", 503},
    FailureRow{EntryFailure::kCancelled, "cancelled", 499},
};

const FailureRow& FindRow(EntryFailure failure) {
  for (const FailureRow& row : kFailureRows) {
    if (row.failure == failure) return row;
  }
  return kFailureRows[0];
}

}  // namespace

std::string_view GetEntryFailureName(EntryFailure failure) { return FindRow(failure).name; }

int GetEntryFailureStatus(EntryFailure failure) { return FindRow(failure).status; }

size_t EntryAnswer::GetMemoryBytes() const {
  size_t bytes = sizeof(*this) + body.size() + tokens.capacity() * sizeof(std::string);
  for (const std::string& token : tokens) bytes += token.size();
  return bytes;
}

}  // namespace plantain

// Types of failure. Every absl::Status that this project makes carries one of them.

#ifndef PLANTAIN_FAILURE_TYPE_H_
#define PLANTAIN_FAILURE_TYPE_H_

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace plantain {

// What went wrong, for programs. The text of the status is for people. docs/OPERATIONS.md explains each one.
enum class FailureCode {
  kUnknown,
  // Settings and command line.
  kSettingInvalid,
  kUsage,
  // Documents.
  kDocumentSyntax,
  kDocumentField,
  kDocumentImpossible,
  kDocumentTooLarge,
  // Publishing.
  kPublishConflict,
  kPublishRefused,
  kPublishUnknown,
  // Platform.
  kLogUnavailable,
  kLogOffsetExpired,
  kLogEraChanged,
  kLogRateLimited,
  kOriginUnavailable,
  kVmListUnavailable,
  kEngineUnavailable,
  kEngineFenced,
  kEngineRefused,
  // Network.
  kConnectFailed,
  kTimeout,
  kCancelled,
  // The connection ended before the answer was complete.
  kConnectionLost,
  kProtocol,
  kAddressInUse,
  // Weights.
  kDigestMismatch,
  kManifestInvalid,
  kChunkMissing,
  kMemoryLimit,
  // State.
  kNoConfig,
  kProofInvalid,
  kNotFound,
  kNotReady,
};

// Returns the failure's name in lower-case words joined by underscores, as logs and JSON show it.
std::string_view GetFailureName(FailureCode code);

// Makes a status of the given type with a text for people.
absl::Status MakeFailure(FailureCode code, std::string_view detail);

// Returns the type of a status that MakeFailure made; kUnknown for any other.
FailureCode GetFailureCode(const absl::Status& status);

// Returns the status text as std::string, since this absl has its own string_view.
std::string GetFailureText(const absl::Status& status);

}  // namespace plantain

#endif  // PLANTAIN_FAILURE_TYPE_H_

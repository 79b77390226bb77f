#include <array>
#include <string>

#include "absl/strings/cord.h"
#include "failure_type.h"

namespace plantain {
namespace {

constexpr char kPayloadUrl[] = "plantainmast/failure";

struct FailureRow {
  FailureCode code;
  std::string_view name;
  absl::StatusCode status;
};

// Maps each failure type to its name and to the general code that absl users expect.
constexpr std::array kFailureRows = {
    FailureRow{FailureCode::kUnknown, "unknown", absl::StatusCode::kUnknown},
    FailureRow{FailureCode::kSettingInvalid, "setting_invalid", absl::StatusCode::kInvalidArgument},
    FailureRow{FailureCode::kUsage, "usage", absl::StatusCode::kInvalidArgument},
    FailureRow{FailureCode::kDocumentSyntax, "document_syntax", absl::StatusCode::kInvalidArgument},
    FailureRow{FailureCode::kDocumentField, "document_field", absl::StatusCode::kInvalidArgument},
    FailureRow{FailureCode::kDocumentImpossible, "document_impossible", absl::StatusCode::kFailedPrecondition},
    FailureRow{FailureCode::kDocumentTooLarge, "document_too_large", absl::StatusCode::kInvalidArgument},
    FailureRow{FailureCode::kPublishConflict, "publish_conflict", absl::StatusCode::kAborted},
    FailureRow{FailureCode::kPublishRefused, "publish_refused", absl::StatusCode::kFailedPrecondition},
    FailureRow{FailureCode::kPublishUnknown, "publish_unknown", absl::StatusCode::kUnknown},
    FailureRow{FailureCode::kLogUnavailable, "log_unavailable", absl::StatusCode::kUnavailable},
    FailureRow{FailureCode::kLogOffsetExpired, "log_offset_expired", absl::StatusCode::kOutOfRange},
    FailureRow{FailureCode::kLogEraChanged, "log_era_changed", absl::StatusCode::kAborted},
    FailureRow{FailureCode::kLogRateLimited, "log_rate_limited", absl::StatusCode::kResourceExhausted},
    FailureRow{FailureCode::kOriginUnavailable, "origin_unavailable", absl::StatusCode::kUnavailable},
    FailureRow{FailureCode::kVmListUnavailable, "vm_list_unavailable", absl::StatusCode::kUnavailable},
    FailureRow{FailureCode::kEngineUnavailable, "engine_unavailable", absl::StatusCode::kUnavailable},
    FailureRow{FailureCode::kEngineFenced, "engine_fenced", absl::StatusCode::kAborted},
    FailureRow{FailureCode::kEngineRefused, "engine_refused", absl::StatusCode::kFailedPrecondition},
    FailureRow{FailureCode::kConnectFailed, "connect_failed", absl::StatusCode::kUnavailable},
    FailureRow{FailureCode::kTimeout, "timeout", absl::StatusCode::kDeadlineExceeded},
    FailureRow{FailureCode::kCancelled, "cancelled", absl::StatusCode::kCancelled},
    FailureRow{FailureCode::kConnectionLost, "connection_lost", absl::StatusCode::kUnavailable},
    FailureRow{FailureCode::kProtocol, "protocol", absl::StatusCode::kDataLoss},
    FailureRow{FailureCode::kAddressInUse, "address_in_use", absl::StatusCode::kAlreadyExists},
    FailureRow{FailureCode::kDigestMismatch, "digest_mismatch", absl::StatusCode::kDataLoss},
    FailureRow{FailureCode::kManifestInvalid, "manifest_invalid", absl::StatusCode::kDataLoss},
    FailureRow{FailureCode::kChunkMissing, "chunk_missing", absl::StatusCode::kNotFound},
    FailureRow{FailureCode::kMemoryLimit, "memory_limit", absl::StatusCode::kResourceExhausted},
    FailureRow{FailureCode::kNoConfig, "no_config", absl::StatusCode::kFailedPrecondition},
    FailureRow{FailureCode::kProofInvalid, "proof_invalid", absl::StatusCode::kPermissionDenied},
    FailureRow{FailureCode::kNotFound, "not_found", absl::StatusCode::kNotFound},
    FailureRow{FailureCode::kNotReady, "not_ready", absl::StatusCode::kUnavailable},
};

const FailureRow& GetRow(FailureCode code) {
  for (const FailureRow& row : kFailureRows) {
    if (row.code == code) return row;
  }
  return kFailureRows.front();
}

}  // namespace

std::string_view GetFailureName(FailureCode code) { return GetRow(code).name; }

absl::Status MakeFailure(FailureCode code, std::string_view detail) {
  const FailureRow& row = GetRow(code);
  absl::Status status(row.status, absl::string_view(detail.data(), detail.size()));
  status.SetPayload(kPayloadUrl, absl::Cord(absl::string_view(row.name.data(), row.name.size())));
  return status;
}

FailureCode GetFailureCode(const absl::Status& status) {
  const auto payload = status.GetPayload(kPayloadUrl);
  if (!payload.has_value()) return FailureCode::kUnknown;
  const std::string name(*payload);
  for (const FailureRow& row : kFailureRows) {
    if (row.name == name) return row.code;
  }
  return FailureCode::kUnknown;
}

std::string GetFailureText(const absl::Status& status) {
  return std::string(status.message().data(), status.message().size());
}

}  // namespace plantain

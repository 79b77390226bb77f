// The operators' view of the configuration stream: the document in force, its history, and publishing.

#ifndef PLANTAIN_CTL_CONFIG_H_
#define PLANTAIN_CTL_CONFIG_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core_type.h"
#include "ctl_type.h"
#include "document_type.h"

namespace plantain {

enum class PublishOutcome { kAccepted, kConflict, kRefused, kRepeated };

std::string_view GetPublishOutcomeName(PublishOutcome outcome);

// A publish record of the stream and its outcome in the configuration fold.
struct PublishRow {
  LogOffset offset;
  WallTime time;
  std::string publish_id;
  std::string author;
  std::string comment;
  ConfigVersion base_version;
  // Version assigned to the document; 0 unless accepted.
  ConfigVersion version;
  PublishOutcome outcome = PublishOutcome::kAccepted;
  // Human-readable reason for a conflict or refusal.
  std::string reason;
  std::string text;
};

// The part of the configuration stream that the log retains.
struct ConfigHistory {
  ConfigVersion version;
  std::string text;
  std::vector<PublishRow> publishes;

  // Returns the document text of a version, or nullopt if the log no longer retains it.
  std::optional<std::string> FindVersion(ConfigVersion requested_version) const;
};

// Reads the configuration stream and applies all its records.
absl::StatusOr<ConfigHistory> ReadConfigHistory(CtlPlatform& platform);

// Parameters of a publish. `base_version` is the version that the document was edited from.
struct PublishRequest {
  std::string text;
  ConfigVersion base_version;
  std::string author;
  std::string comment;
};

// Appends a publish record and returns its outcome. If the response to the append is lost, the record is searched for
// in the log and appended again with the same id, so that the publish is applied once. Fails with kPublishUnknown if
// the log cannot be read back.
absl::StatusOr<PublishRow> PublishDocument(CtlPlatform& platform, const PublishRequest& request);

// Returns a line diff of two texts with `-` and `+` prefixes and without context lines; empty if they are equal.
std::string DiffTexts(const std::string& before, const std::string& after);

}  // namespace plantain

#endif  // PLANTAIN_CTL_CONFIG_H_

#include "ctl_config.h"

#include <algorithm>
#include <map>

#include "config_fold.h"
#include "failure_type.h"
#include "log_client.h"
#include "record.pb.h"

namespace plantain {
namespace {

// Number of append attempts for a publish before its outcome is reported as unknown.
constexpr int kMaxAppendAttempts = 3;
constexpr Duration kAppendRetryDelay = std::chrono::milliseconds(300);

std::optional<PublishOutcome> ToPublishOutcome(FoldVerdict verdict) {
  switch (verdict) {
    case FoldVerdict::kAccepted:
      return PublishOutcome::kAccepted;
    case FoldVerdict::kConflict:
      return PublishOutcome::kConflict;
    case FoldVerdict::kRefused:
      return PublishOutcome::kRefused;
    case FoldVerdict::kRepeated:
      return PublishOutcome::kRepeated;
    default:
      return std::nullopt;
  }
}

std::string GetReason(const FoldStep& step, const proto::Publish& publish) {
  if (step.verdict == FoldVerdict::kConflict) {
    return "made from version " + std::to_string(publish.base_version()) + ", but version " +
           std::to_string(step.version.Get()) + " was in force";
  }
  return step.status.ok() ? "" : GetFailureText(step.status);
}

PublishRow MakePublishRow(const FoldStep& step, PublishOutcome outcome, const LogRecord& record,
                          const proto::Publish& publish) {
  PublishRow row;
  row.offset = step.offset;
  row.time = record.time;
  row.publish_id = publish.publish_id();
  row.author = publish.author();
  row.comment = publish.comment();
  row.base_version = ConfigVersion(publish.base_version());
  if (outcome == PublishOutcome::kAccepted) row.version = step.version;
  row.outcome = outcome;
  row.reason = GetReason(step, publish);
  row.text = publish.document();
  return row;
}

// Adds the publishes among the fold steps to the history.
void AddPublishes(const std::vector<FoldStep>& steps, const std::map<uint64_t, LogRecord>& records,
                  ConfigHistory& history) {
  for (const FoldStep& step : steps) {
    const std::optional<PublishOutcome> outcome = ToPublishOutcome(step.verdict);
    const auto record = records.find(step.offset.Get());
    if (!outcome.has_value() || record == records.end()) continue;
    proto::ConfigRecord parsed;
    if (!parsed.ParseFromString(record->second.data) || !parsed.has_publish()) continue;
    history.publishes.push_back(MakePublishRow(step, *outcome, record->second, parsed.publish()));
  }
}

// Returns the first row with a publish id. Later records with the same id are repeats and have no effect.
const PublishRow* FindPublish(const ConfigHistory& history, const std::string& publish_id) {
  const auto found = std::find_if(history.publishes.begin(), history.publishes.end(),
                                  [&](const PublishRow& row) { return row.publish_id == publish_id; });
  return found == history.publishes.end() ? nullptr : &*found;
}

std::string MakeRecord(const PublishRequest& request, const std::string& publish_id) {
  proto::ConfigRecord record;
  proto::Publish& publish = *record.mutable_publish();
  publish.set_publish_id(publish_id);
  publish.set_base_version(request.base_version.Get());
  publish.set_author(request.author);
  publish.set_comment(request.comment);
  publish.set_document(request.text);
  return record.SerializeAsString();
}

}  // namespace

std::string_view GetPublishOutcomeName(PublishOutcome outcome) {
  switch (outcome) {
    case PublishOutcome::kAccepted:
      return "accepted";
    case PublishOutcome::kConflict:
      return "conflict";
    case PublishOutcome::kRefused:
      return "refused";
    case PublishOutcome::kRepeated:
      return "repeated";
  }
  return "unknown";
}

std::optional<std::string> ConfigHistory::FindVersion(ConfigVersion requested_version) const {
  if (requested_version == version && version.Get() > 0) return text;
  for (const PublishRow& row : publishes) {
    if (row.outcome == PublishOutcome::kAccepted && row.version == requested_version) return row.text;
  }
  return std::nullopt;
}

absl::StatusOr<ConfigHistory> ReadConfigHistory(CtlPlatform& platform) {
  const auto records = platform.ReadConfigRecords();
  if (!records.ok()) return records.status();
  std::map<uint64_t, LogRecord> by_offset;
  for (const LogRecord& record : *records) by_offset.emplace(record.offset.Get(), record);
  ConfigFold fold;
  ConfigHistory history;
  LogBatch batch;
  batch.records = *records;
  batch.first_offset = records->empty() ? LogOffset(0) : records->front().offset;
  batch.next_offset = records->empty() ? LogOffset(0) : records->back().offset.Next();
  AddPublishes(fold.ApplyBatch(std::move(batch)), by_offset, history);
  history.version = fold.GetVersion();
  if (fold.GetView() != nullptr) history.text = fold.GetView()->text;
  return history;
}

absl::StatusOr<PublishRow> PublishDocument(CtlPlatform& platform, const PublishRequest& request) {
  const std::string publish_id = platform.GenerateId();
  const std::string record = MakeRecord(request, publish_id);
  absl::Status last = absl::OkStatus();
  bool may_be_appended = false;
  for (int i = 0; i < kMaxAppendAttempts; ++i) {
    if (i > 0) platform.Wait(kAppendRetryDelay);
    const absl::StatusOr<LogOffset> offset = platform.AppendConfigRecord(record);
    last = offset.status();
    may_be_appended = may_be_appended || offset.ok() || !IsCertainlyNotAppended(last);
    if (!may_be_appended) continue;
    const absl::StatusOr<ConfigHistory> history = ReadConfigHistory(platform);
    if (!history.ok()) {
      last = history.status();
      continue;
    }
    if (const PublishRow* row = FindPublish(*history, publish_id)) return *row;
  }
  if (!may_be_appended) return last;
  return MakeFailure(
      FailureCode::kPublishUnknown,
      "publish " + publish_id + " was sent, but the log could not be read back: " + GetFailureText(last));
}

}  // namespace plantain

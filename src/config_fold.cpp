#include "config_fold.h"

#include <algorithm>

#include "config_proof.h"
#include "document_func.h"
#include "failure_type.h"
#include "manifest_func.h"
#include "record.pb.h"

namespace plantain {
namespace {

// At 5,500 changes a day this covers four hours, longer than any append is retried.
constexpr size_t kMaxRecentIds = 1000;
constexpr size_t kMaxPublishIdLength = 64;
constexpr char kDocumentFile[] = "document";

bool IsPublishId(const std::string& id) { return !id.empty() && id.size() <= kMaxPublishIdLength; }

// Parses the document of a record. Returns its view, or the errors found in it.
absl::StatusOr<std::shared_ptr<const ConfigView>> MakeView(ConfigVersion version, LogOffset publish_offset,
                                                           const std::string& text,
                                                           std::optional<WallTime> accepted_at) {
  absl::StatusOr<Document> document = ParseDocument(kDocumentFile, text);
  if (!document.ok()) return document.status();
  auto view = std::make_shared<ConfigView>();
  view->version = version;
  view->publish_offset = publish_offset;
  view->digest = ComputeDigest(text);
  view->text = text;
  view->document = *std::move(document);
  view->accepted_at = accepted_at;
  return std::shared_ptr<const ConfigView>(std::move(view));
}

bool IsCheckpointPlausible(const proto::Carry& checkpoint, LogOffset offset) {
  return checkpoint.version() > 0 && checkpoint.folded_through() < offset.Get() &&
         checkpoint.publish_offset() <= checkpoint.folded_through() &&
         static_cast<size_t>(checkpoint.recent_publish_ids_size()) <= kMaxRecentIds;
}

}  // namespace

std::string_view GetFoldVerdictName(FoldVerdict verdict) {
  switch (verdict) {
    case FoldVerdict::kAccepted:
      return "accepted";
    case FoldVerdict::kRepeated:
      return "repeated";
    case FoldVerdict::kConflict:
      return "conflict";
    case FoldVerdict::kRefused:
      return "refused";
    case FoldVerdict::kMalformed:
      return "malformed";
    case FoldVerdict::kCheckpointIgnored:
      return "carry_ignored";
    case FoldVerdict::kCheckpointAdopted:
      return "carry_adopted";
    case FoldVerdict::kDuplicate:
      return "duplicate";
    case FoldVerdict::kGap:
      return "gap";
    case FoldVerdict::kExpired:
      return "expired";
    case FoldVerdict::kNoStart:
      return "no_start";
    case FoldVerdict::kLogBackward:
      return "log_backward";
  }
  return "unknown";
}

std::vector<FoldStep> ConfigFold::ApplyBatch(LogBatch batch) {
  std::vector<FoldStep> steps;
  if (batch.next_offset < m_next) {
    steps.push_back(MakeStep(FoldVerdict::kLogBackward, batch.next_offset));
    return steps;
  }
  if (batch.first_offset > m_next) {
    m_next = batch.first_offset;
    m_is_searching = true;
    m_search_offset = batch.first_offset;
    steps.push_back(MakeStep(FoldVerdict::kExpired, batch.first_offset));
  }
  std::stable_sort(batch.records.begin(), batch.records.end(),
                   [](const LogRecord& a, const LogRecord& b) { return a.offset < b.offset; });
  for (const LogRecord& record : batch.records) {
    if (record.offset < m_next) {
      steps.push_back(MakeStep(FoldVerdict::kDuplicate, record.offset));
      continue;
    }
    if (record.offset > m_next) {
      steps.push_back(MakeStep(FoldVerdict::kGap, m_next));
      break;
    }
    steps.push_back(ApplyRecord(record));
    // The fold continues after the last record covered by the checkpoint, which the reader must request again.
    if (steps.back().verdict == FoldVerdict::kCheckpointAdopted) break;
  }
  return steps;
}

FoldStep ConfigFold::ApplyRecord(const LogRecord& record) {
  m_next = record.offset.Next();
  if (record.offset == LogOffset(0)) m_newest_start = FoldStart{record.offset, record.time};
  proto::ConfigRecord message;
  if (!message.ParseFromString(record.data)) return MakeStep(FoldVerdict::kMalformed, record.offset);

  if (message.has_carry()) {
    const proto::Carry& checkpoint = message.carry();
    if (!IsCheckpointPlausible(checkpoint, record.offset)) return MakeStep(FoldVerdict::kMalformed, record.offset);
    m_newest_start = FoldStart{record.offset, record.time};
    const bool covers_expired = checkpoint.folded_through() + 1 >= m_search_offset.Get();
    if (!m_is_searching || !covers_expired) return MakeStep(FoldVerdict::kCheckpointIgnored, record.offset);
    auto view = MakeView(ConfigVersion(checkpoint.version()), LogOffset(checkpoint.publish_offset()),
                         checkpoint.document(), std::nullopt);
    if (!view.ok()) return MakeStep(FoldVerdict::kMalformed, record.offset);
    m_view = *std::move(view);
    m_publish_id = checkpoint.publish_id();
    m_recent_ids.assign(checkpoint.recent_publish_ids().begin(), checkpoint.recent_publish_ids().end());
    m_known_ids = std::set<std::string>(m_recent_ids.begin(), m_recent_ids.end());
    m_is_searching = false;
    m_next = LogOffset(checkpoint.folded_through()).Next();
    return MakeStep(FoldVerdict::kCheckpointAdopted, record.offset);
  }

  if (!message.has_publish() || !IsPublishId(message.publish().publish_id())) {
    return MakeStep(FoldVerdict::kMalformed, record.offset);
  }
  const proto::Publish& publish = message.publish();
  FoldStep step = MakeStep(FoldVerdict::kNoStart, record.offset);
  step.publish_id = publish.publish_id();
  step.author = publish.author();
  if (m_is_searching) return step;
  if (m_known_ids.count(publish.publish_id()) != 0) {
    step.verdict = FoldVerdict::kRepeated;
    return step;
  }
  AddRecentPublishId(publish.publish_id());
  if (publish.base_version() != GetVersion().Get()) {
    step.verdict = FoldVerdict::kConflict;
    step.status = MakeFailure(FailureCode::kPublishConflict,
                              "publish is based on version " + std::to_string(publish.base_version()) +
                                  ", but the version in force is " + std::to_string(GetVersion().Get()));
    return step;
  }
  auto view = MakeView(GetVersion().Next(), record.offset, publish.document(), record.time);
  if (!view.ok()) {
    step.verdict = FoldVerdict::kRefused;
    step.status = view.status();
    return step;
  }
  m_view = *std::move(view);
  m_publish_id = publish.publish_id();
  step.verdict = FoldVerdict::kAccepted;
  step.version = GetVersion();
  return step;
}

void ConfigFold::StartFrom(std::shared_ptr<const ConfigView> view) {
  m_next = view->publish_offset.Next();
  m_view = std::move(view);
  m_publish_id.clear();
  m_recent_ids.clear();
  m_known_ids.clear();
  m_is_searching = false;
}

std::optional<std::string> ConfigFold::MakeCheckpoint(const std::string& writer) const {
  if (m_is_searching || m_view == nullptr) return std::nullopt;
  proto::ConfigRecord record;
  proto::Carry& checkpoint = *record.mutable_carry();
  checkpoint.set_version(m_view->version.Get());
  checkpoint.set_document(m_view->text);
  checkpoint.set_publish_id(m_publish_id);
  checkpoint.set_publish_offset(m_view->publish_offset.Get());
  checkpoint.set_folded_through(m_next.Get() - 1);
  for (const std::string& id : m_recent_ids) checkpoint.add_recent_publish_ids(id);
  checkpoint.set_writer(writer);
  return record.SerializeAsString();
}

FoldStep ConfigFold::MakeStep(FoldVerdict verdict, LogOffset offset) const {
  return FoldStep{verdict, offset, "", "", GetVersion(), absl::OkStatus()};
}

void ConfigFold::AddRecentPublishId(const std::string& id) {
  m_recent_ids.push_back(id);
  m_known_ids.insert(id);
  if (m_recent_ids.size() <= kMaxRecentIds) return;
  m_known_ids.erase(m_recent_ids.front());
  m_recent_ids.pop_front();
}

}  // namespace plantain

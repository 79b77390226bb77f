// Folds log stream `config`: computes which document is in force after each record. Performs no I/O. The fold is
// deterministic, so all processes that fold the same records reach the same state.

#ifndef PLANTAIN_CONFIG_FOLD_H_
#define PLANTAIN_CONFIG_FOLD_H_

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "config_type.h"
#include "log_type.h"

namespace plantain {

// Result of processing one record, or of checking the range of offsets that the log returned.
enum class FoldVerdict {
  // A publish created a new version.
  kAccepted,
  // The publish id has been seen before. Only the first record with an id is applied.
  kRepeated,
  // The publish is based on a version other than the one in force.
  kConflict,
  // The document failed validation.
  kRefused,
  // The record is not a valid ConfigRecord, or not of a kind that this build supports.
  kMalformed,
  // A checkpoint was not needed.
  kCheckpointIgnored,
  // The fold restarted from this checkpoint.
  kCheckpointAdopted,
  // The record was processed before; the log returned it again.
  kDuplicate,
  // A record is missing. The fold does not advance until it arrives.
  kGap,
  // The log no longer retains the next record. The fold searches for a checkpoint to start from.
  kExpired,
  // The record cannot be folded because the state before it is unknown.
  kNoStart,
  // The log's end offset is lower than that of a record returned earlier.
  kLogBackward,
};

// Returns the verdict in snake case.
std::string_view GetFoldVerdictName(FoldVerdict verdict);

// Result of one step of the fold.
struct FoldStep {
  FoldVerdict verdict;
  LogOffset offset;
  std::string publish_id;
  std::string author;
  // Version in force after this step.
  ConfigVersion version;
  // Typed error if the publish was rejected; OK otherwise.
  absl::Status status;
};

// Position and log time of a record from which a reader can start without the records before it.
struct FoldStart {
  LogOffset offset;
  WallTime time;
};

// State of the fold in one reader.
class ConfigFold {
 public:
  // Returns the offset at which the next read must start.
  LogOffset GetNextOffset() const { return m_next; }

  // Processes the records that a read returned. Records may be repeated, out of order or missing; none is folded twice.
  std::vector<FoldStep> ApplyBatch(LogBatch batch);

  // Starts from a document that was verified by the proof of another process, as if from a checkpoint that ends with
  // its publish record. The recent publish ids are then unknown, so only readers without a checkpoint and rare readers
  // use this.
  void StartFrom(std::shared_ptr<const ConfigView> view);

  // Returns the document in force after the last folded record, or null at version 0.
  const std::shared_ptr<const ConfigView>& GetView() const { return m_view; }
  ConfigVersion GetVersion() const { return m_view == nullptr ? ConfigVersion(0) : m_view->version; }

  // Returns whether the state before the next record is known.
  bool IsStarted() const { return !m_is_searching; }

  // Returns the newest record from which a fold can start, or nullopt if neither the first record of the stream nor a
  // checkpoint has been read.
  std::optional<FoldStart> GetNewestStart() const { return m_newest_start; }

  // Returns a serialized ConfigRecord that contains a checkpoint of the current state, or nullopt if there is no state.
  std::optional<std::string> MakeCheckpoint(const std::string& writer) const;

 private:
  FoldStep ApplyRecord(const LogRecord& record);
  FoldStep MakeStep(FoldVerdict verdict, LogOffset offset) const;
  void AddRecentPublishId(const std::string& id);

  LogOffset m_next;
  // True while the fold searches for a checkpoint that covers all records before m_search_offset.
  bool m_is_searching = false;
  LogOffset m_search_offset;
  std::shared_ptr<const ConfigView> m_view;
  std::string m_publish_id;
  // Ids of recent publishes, accepted or not, oldest first. They are part of the state and are stored in checkpoints,
  // so that readers that started at different offsets make the same decisions.
  std::deque<std::string> m_recent_ids;
  std::set<std::string> m_known_ids;
  std::optional<FoldStart> m_newest_start;
};

}  // namespace plantain

#endif  // PLANTAIN_CONFIG_FOLD_H_

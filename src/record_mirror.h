// Local copy of a compacted topic: the newest record of each key, received from the store or from a peer. No I/O.

#ifndef PLANTAIN_RECORD_MIRROR_H_
#define PLANTAIN_RECORD_MIRROR_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core_type.h"
#include "era_table.h"
#include "log_position.h"

namespace plantain {

// How a record became known.
enum class RecordKind {
  // It stands in the log.
  kWritten,
  // A removal that was inferred from a listing without the key.
  kUnlisted,
  // A removal that was inferred because the key was lost in a restore and has not been written again in time.
  kExpired,
};

// The newest record of one key.
struct KeyedRecord {
  std::string key;
  LogPosition position;
  // Unset if the key has been removed.
  std::optional<std::string> value;
  RecordKind kind = RecordKind::kWritten;
};

// Keeps the newest record of each key. Records may arrive late, repeatedly and from several sources. The record that
// was written last wins, so a stale source cannot revert a key, and neither can a store that comes back from an older
// copy: its copy's records count as written when they were first, and what it has lost stays known until it is written
// again.
class RecordMirror {
 public:
  // Whether two values of one key are equivalent. Changes in irrelevant fields only, such as a heartbeat counter, are
  // not sent to peers.
  using IsEquivalent = std::function<bool(const std::string&, const std::string&)>;

  explicit RecordMirror(IsEquivalent is_equivalent) : m_is_equivalent(std::move(is_equivalent)) {}

  // Applies one record. Returns whether a key was added, removed or changed.
  bool Apply(KeyedRecord record);

  // Applies a full listing of the topic as of `end`, the position after its last record. Known keys that are older than
  // `end` and not listed are treated as removed, unless the store has lost their records in a restore. Returns whether
  // anything changed.
  bool ApplyListing(std::vector<KeyedRecord> records, LogPosition end);

  // Removes the keys whose records the store has lost in a restore and which have not been written again. The first
  // form keeps those that the copy has, in whatever state. Both return the number of keys removed.
  size_t ExpireUnlisted();
  size_t ExpireLost();

  // Returns the positions of known records at whose offsets `log`, read in a later era, has other records.
  std::vector<LogPosition> FindReplaced(const std::vector<KeyedRecord>& log) const;

  // Returns the number of keys whose newest record the store has lost in a restore.
  size_t CountLost() const;

  // All records before this position have been applied.
  LogPosition GetCompleteTo() const { return m_complete_to; }
  void SetCompleteTo(LogPosition position);

  // What is known of the store's eras in this topic.
  const EraTable& GetEras() const { return m_eras; }
  // Adds a fact about eras. Returns whether it tells anything new. Records that were taken for older ones until now may
  // have been dropped, so they count as unknown until a peer sends them or they are read again.
  bool AddEraBound(const EraBound& bound);

  // Returns the offset from which the store's records must be read again because of such a fact, and forgets it.
  std::optional<LogOffset> TakeRereadOffset() { return std::exchange(m_reread_from, std::nullopt); }

  // Which changes are known.
  const LogRevision& GetRevision() const { return m_revision; }
  // Records that all changes that a peer knows have been applied.
  void RaiseRevision(const LogRevision& revision) { m_revision.Raise(revision); }

  // Returns the records that a process with this revision does not know, including removed keys.
  std::vector<KeyedRecord> GetChangesAfter(const LogRevision& revision) const;

  // Returns the value of a key, or null.
  const std::string* Find(const std::string& key) const;

  // Calls `visit` for each key that has a value.
  void ForEach(const std::function<void(const std::string& key, const std::string& value)>& visit) const;

 private:
  struct Entry {
    KeyedRecord record;
    // Position of the record that last changed the value to one that is not equivalent, or wrote it again after a
    // restore.
    LogPosition changed_at;
  };

  bool IsNewer(const KeyedRecord& a, const KeyedRecord& b) const;
  bool IsLost(const Entry& entry) const;
  size_t Expire(const std::set<std::string>& kept);
  bool HasChanged(const Entry& entry, const KeyedRecord& record) const;

  const IsEquivalent m_is_equivalent;
  EraTable m_eras;
  std::map<std::string, Entry> m_entries;
  LogPosition m_complete_to;
  LogRevision m_revision;
  std::optional<LogOffset> m_reread_from;
  // Keys of the first listing of the current era; cleared by ExpireUnlisted.
  std::set<std::string> m_listed_keys;
};

}  // namespace plantain

#endif  // PLANTAIN_RECORD_MIRROR_H_

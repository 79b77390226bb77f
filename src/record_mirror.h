// Local copy of a compacted topic: the newest record of each key, received from the store or from a peer. No I/O.

#ifndef PLANTAIN_RECORD_MIRROR_H_
#define PLANTAIN_RECORD_MIRROR_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core_type.h"

namespace plantain {

// The newest record of one key.
struct KeyedRecord {
  std::string key;
  LogOffset offset;
  // Unset if the key has been removed.
  std::optional<std::string> value;
};

// Keeps the newest record of each key. Records may arrive late, repeatedly and from several sources. The record with
// the largest offset wins, so a stale source cannot revert a key.
class RecordMirror {
 public:
  // Whether two values of one key are equivalent. Changes in irrelevant fields only, such as a heartbeat counter, are
  // not sent to peers.
  using IsEquivalent = std::function<bool(const std::string&, const std::string&)>;

  explicit RecordMirror(IsEquivalent is_equivalent) : m_is_equivalent(std::move(is_equivalent)) {}

  // Applies one record. Returns whether a key was added, removed or changed.
  bool Apply(KeyedRecord record);

  // Applies a full listing of the topic as of `end`, the offset after its last record. Known keys that are older than
  // `end` and not listed are treated as removed. Returns whether anything changed.
  bool ApplyListing(std::vector<KeyedRecord> records, LogOffset end);

  // All records before this offset have been applied.
  LogOffset GetCompleteTo() const { return m_complete_to; }
  void SetCompleteTo(LogOffset offset);

  // Offset after the newest record that changed a key; 0 if there is none.
  LogOffset GetRevision() const { return m_revision; }

  // Returns the records that changed after a revision, including removed keys.
  std::vector<KeyedRecord> GetChangesAfter(LogOffset revision) const;

  // Returns the value of a key, or null.
  const std::string* Find(const std::string& key) const;

  // Calls `visit` for each key that has a value.
  void ForEach(const std::function<void(const std::string& key, const std::string& value)>& visit) const;

 private:
  struct Entry {
    KeyedRecord record;
    // Offset after the record that last changed the value to one that is not equivalent.
    LogOffset revision;
  };

  bool HasChanged(const Entry& entry, const KeyedRecord& record) const;

  const IsEquivalent m_is_equivalent;
  std::map<std::string, Entry> m_entries;
  LogOffset m_complete_to;
  LogOffset m_revision;
};

}  // namespace plantain

#endif  // PLANTAIN_RECORD_MIRROR_H_

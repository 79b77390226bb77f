// This process's copy of a compacted topic: the newest record of each key, from the store or from a peer. No I/O.

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
  // Nothing if the key has been removed.
  std::optional<std::string> value;
};

// Keeps the newest record of each key. Records may come late, repeatedly and from several sources; the one with the
// largest offset counts, so a stale source never takes a key back.
class RecordMirror {
 public:
  // Whether two values of one key say the same to this system. What differs in irrelevant fields only, such as a
  // heartbeat's counter, is not passed on to peers.
  using IsSameMeaning = std::function<bool(const std::string&, const std::string&)>;

  explicit RecordMirror(IsSameMeaning is_same) : m_is_same(std::move(is_same)) {}

  // Takes one record. Returns whether it changed what is known.
  bool Take(KeyedRecord record);

  // Takes a whole listing of the topic that was valid at `end`, the offset after its last record. Keys that are known
  // from before `end` and are not listed have been removed. Returns whether anything changed.
  bool TakeListing(std::vector<KeyedRecord> records, LogOffset end);

  // Everything before this offset is known.
  LogOffset GetCompleteTo() const { return m_complete_to; }
  void SetCompleteTo(LogOffset offset);

  // The offset after the newest record that changed what is known; 0 while nothing is known.
  LogOffset GetRevision() const { return m_revision; }

  // Returns the records that changed beyond a revision, removed keys included.
  std::vector<KeyedRecord> GetChangedBeyond(LogOffset revision) const;

  // Returns the value of a key, or null.
  const std::string* Find(const std::string& key) const;

  // Calls `visit` for each key that has a value.
  void ForEach(const std::function<void(const std::string& key, const std::string& value)>& visit) const;

 private:
  struct Entry {
    KeyedRecord record;
    // Offset after the record with which the value last changed its meaning.
    LogOffset revision;
  };

  bool HasChanged(const Entry& entry, const KeyedRecord& record) const;

  const IsSameMeaning m_is_same;
  std::map<std::string, Entry> m_entries;
  LogOffset m_complete_to;
  LogOffset m_revision;
};

}  // namespace plantain

#endif  // PLANTAIN_RECORD_MIRROR_H_

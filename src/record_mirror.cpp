#include "record_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace plantain {

bool RecordMirror::HasChanged(const Entry& entry, const KeyedRecord& record) const {
  const auto& before = entry.record.value;
  if (before.has_value() != record.value.has_value()) return true;
  return before.has_value() && !m_is_equivalent(*before, *record.value);
}

bool RecordMirror::Apply(KeyedRecord record) {
  const auto found = m_entries.find(record.key);
  if (found == m_entries.end()) {
    const LogOffset revision = record.offset.Next();
    m_revision = std::max(m_revision, revision);
    const std::string key = record.key;
    m_entries.emplace(key, Entry{std::move(record), revision});
    return true;
  }
  Entry& entry = found->second;
  if (record.offset <= entry.record.offset) return false;
  const bool is_changed = HasChanged(entry, record);
  entry.record = std::move(record);
  if (!is_changed) return false;
  entry.revision = entry.record.offset.Next();
  m_revision = std::max(m_revision, entry.revision);
  return true;
}

bool RecordMirror::ApplyListing(std::vector<KeyedRecord> records, LogOffset end) {
  std::set<std::string> listed;
  bool is_changed = false;
  for (KeyedRecord& record : records) {
    listed.insert(record.key);
    is_changed |= Apply(std::move(record));
  }
  for (const auto& [key, entry] : m_entries) {
    if (listed.contains(key) || !entry.record.value.has_value() || entry.record.offset >= end) continue;
    is_changed = true;
    // The removal record itself has been compacted away; its offset lies between the key's last record and `end`.
    const LogOffset removed_at(std::max(entry.record.offset.Get() + 1, end.Get() - 1));
    m_entries[key] = Entry{KeyedRecord{key, removed_at, std::nullopt}, removed_at.Next()};
    m_revision = std::max(m_revision, removed_at.Next());
  }
  SetCompleteTo(end);
  return is_changed;
}

void RecordMirror::SetCompleteTo(LogOffset offset) { m_complete_to = std::max(m_complete_to, offset); }

std::vector<KeyedRecord> RecordMirror::GetChangesAfter(LogOffset revision) const {
  std::vector<KeyedRecord> changed;
  for (const auto& [key, entry] : m_entries) {
    if (entry.revision > revision) changed.push_back(entry.record);
  }
  return changed;
}

const std::string* RecordMirror::Find(const std::string& key) const {
  const auto found = m_entries.find(key);
  if (found == m_entries.end() || !found->second.record.value.has_value()) return nullptr;
  return &*found->second.record.value;
}

void RecordMirror::ForEach(const std::function<void(const std::string& key, const std::string& value)>& visit) const {
  for (const auto& [key, entry] : m_entries) {
    if (entry.record.value.has_value()) visit(key, *entry.record.value);
  }
}

}  // namespace plantain

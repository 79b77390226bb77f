#include "record_mirror.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plantain {

bool RecordMirror::HasChanged(const Entry& entry, const KeyedRecord& record) const {
  const auto& before = entry.record.value;
  if (before.has_value() != record.value.has_value()) return true;
  return before.has_value() && !m_is_equivalent(*before, *record.value);
}

// Records that were written in the same era are ordered by offset. At equal offsets the later view is the true one.
bool RecordMirror::IsNewer(const KeyedRecord& a, const KeyedRecord& b) const {
  const auto get_order = [this](const KeyedRecord& record) {
    const bool has_expired = record.kind == RecordKind::kExpired;
    const StoreEra written = has_expired ? record.position.era : m_eras.GetWriteEra(record.position);
    return std::make_tuple(written, record.position.offset, record.position.era, record.kind == RecordKind::kWritten);
  };
  return get_order(a) > get_order(b);
}

bool RecordMirror::AddEraBound(const EraBound& bound) {
  if (!m_eras.Add(bound)) return false;
  m_revision.LowerFrom(bound.view, bound.offset);
  if (bound.view <= m_complete_to.era && bound.offset < m_complete_to.offset) {
    m_reread_from = std::min(m_reread_from.value_or(bound.offset), bound.offset);
  }
  return true;
}

bool RecordMirror::Apply(KeyedRecord record) {
  const auto found = m_entries.find(record.key);
  if (found == m_entries.end()) {
    const LogPosition position = record.position;
    m_revision.Raise(position.era, position.offset.Next());
    const std::string key = record.key;
    m_entries.emplace(key, Entry{std::move(record), position});
    return true;
  }
  Entry& entry = found->second;
  if (!IsNewer(record, entry.record)) return false;
  const bool is_changed = HasChanged(entry, record);
  // A record that was written again after a restore is news to peers, though its value is the same: to them the key may
  // still count as lost, and it would expire.
  const bool is_rewritten = m_eras.GetWriteEra(record.position) > m_eras.GetWriteEra(entry.record.position);
  entry.record = std::move(record);
  if (!is_changed && !is_rewritten) return false;
  entry.changed_at = entry.record.position;
  m_revision.Raise(entry.changed_at.era, entry.changed_at.offset.Next());
  return is_changed;
}

bool RecordMirror::ApplyListing(std::vector<KeyedRecord> records, LogPosition end) {
  std::set<std::string> listed;
  bool is_changed = false;
  for (KeyedRecord& record : records) {
    listed.insert(record.key);
    is_changed |= Apply(std::move(record));
  }
  std::vector<KeyedRecord> removed;
  for (const auto& [key, entry] : m_entries) {
    const LogPosition known = entry.record.position;
    const bool is_missing = entry.record.value.has_value() && !listed.contains(key) && known.offset < end.offset &&
                            m_eras.IsRetained(known, end.era);
    if (!is_missing) continue;
    // The removal record itself has been compacted away; its offset lies between the key's last record and `end`.
    const LogOffset removed_at(std::max(known.offset.Get() + 1, end.offset.Get() - 1));
    removed.push_back({key, {end.era, removed_at}, std::nullopt, RecordKind::kUnlisted});
  }
  for (KeyedRecord& record : removed) is_changed |= Apply(std::move(record));
  if (end.era > m_complete_to.era) m_listed_keys = std::move(listed);
  SetCompleteTo(end);
  return is_changed;
}

bool RecordMirror::IsLost(const Entry& entry) const {
  return entry.record.value.has_value() && !m_eras.IsRetained(entry.record.position, m_complete_to.era);
}

size_t RecordMirror::CountLost() const {
  return static_cast<size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [this](const auto& named) { return IsLost(named.second); }));
}

size_t RecordMirror::ExpireUnlisted() { return Expire(std::exchange(m_listed_keys, {})); }

size_t RecordMirror::ExpireLost() { return Expire({}); }

size_t RecordMirror::Expire(const std::set<std::string>& kept) {
  // Without a record in the current era there is no position for the removals; nothing has been written again yet.
  if (m_complete_to.offset == LogOffset()) return 0;
  const LogPosition position{m_complete_to.era, LogOffset(m_complete_to.offset.Get() - 1)};
  std::vector<KeyedRecord> expired;
  for (const auto& [key, entry] : m_entries) {
    if (IsLost(entry) && !kept.contains(key)) expired.push_back({key, position, std::nullopt, RecordKind::kExpired});
  }
  for (KeyedRecord& record : expired) Apply(std::move(record));
  return expired.size();
}

std::vector<LogPosition> RecordMirror::FindReplaced(const std::vector<KeyedRecord>& log) const {
  std::map<LogOffset, const KeyedRecord*> read;
  for (const KeyedRecord& record : log) read[record.position.offset] = &record;
  std::vector<LogPosition> replaced;
  for (const auto& [key, entry] : m_entries) {
    const KeyedRecord& known = entry.record;
    const auto found = read.find(known.position.offset);
    if (found == read.end() || known.kind != RecordKind::kWritten) continue;
    const KeyedRecord& now = *found->second;
    const bool is_same = now.key == known.key && now.value == known.value;
    if (!is_same && known.position.era < now.position.era) replaced.push_back(known.position);
  }
  return replaced;
}

void RecordMirror::SetCompleteTo(LogPosition position) {
  const bool is_later =
      position.era > m_complete_to.era || (position.era == m_complete_to.era && position.offset > m_complete_to.offset);
  if (is_later) m_complete_to = position;
}

std::vector<KeyedRecord> RecordMirror::GetChangesAfter(const LogRevision& revision) const {
  std::vector<KeyedRecord> changed;
  for (const auto& [key, entry] : m_entries) {
    // An expired key has no position of its own, so its removal is always included.
    const bool is_known = revision.Contains(entry.changed_at) && entry.record.kind != RecordKind::kExpired;
    if (!is_known) changed.push_back(entry.record);
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

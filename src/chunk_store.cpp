#include "chunk_store.h"

#include <utility>

#include "failure_type.h"
#include "manifest_func.h"

namespace plantain {

absl::Status ChunkStore::Put(const Digest& digest, std::string content, std::vector<Digest>& dropped) {
  if (ComputeDigest(content) != digest) return MakeFailure(FailureCode::kDigestMismatch, FormatDigest(digest));
  if (Has(digest)) return absl::OkStatus();
  if (!MakeRoom(content.size(), dropped))
    return MakeFailure(FailureCode::kMemoryLimit, "too few unpinned chunks to evict");
  m_used += Bytes(content.size());
  Entry entry;
  entry.content = std::make_shared<const std::string>(std::move(content));
  entry.place = m_order.insert(m_order.end(), digest);
  m_entries.emplace(digest, std::move(entry));
  return absl::OkStatus();
}

std::shared_ptr<const std::string> ChunkStore::Get(const Digest& digest) {
  const auto found = m_entries.find(digest);
  if (found == m_entries.end()) return nullptr;
  m_order.splice(m_order.end(), m_order, found->second.place);
  return found->second.content;
}

void ChunkStore::Pin(const Digest& digest) {
  const auto found = m_entries.find(digest);
  if (found == m_entries.end()) return;
  if (found->second.pins++ == 0) m_pinned += Bytes(found->second.content->size());
}

void ChunkStore::Unpin(const Digest& digest) {
  const auto found = m_entries.find(digest);
  if (found == m_entries.end() || found->second.pins == 0) return;
  if (--found->second.pins == 0) m_pinned -= Bytes(found->second.content->size());
}

void ChunkStore::Drop(const Digest& digest) {
  const auto found = m_entries.find(digest);
  if (found != m_entries.end()) Remove(found);
}

void ChunkStore::Remove(std::unordered_map<Digest, Entry>::iterator entry) {
  const Bytes size(entry->second.content->size());
  m_used -= size;
  if (entry->second.pins > 0) m_pinned -= size;
  m_order.erase(entry->second.place);
  m_entries.erase(entry);
}

bool ChunkStore::MakeRoom(uint64_t size, std::vector<Digest>& dropped) {
  if (size > GetRoom().Get()) return false;
  auto place = m_order.begin();
  while (m_used.Get() + size > m_limit.Get() && place != m_order.end()) {
    const auto entry = m_entries.find(*place++);
    if (entry->second.pins > 0) continue;
    dropped.push_back(entry->first);
    Remove(entry);
  }
  return m_used.Get() + size <= m_limit.Get();
}

}  // namespace plantain

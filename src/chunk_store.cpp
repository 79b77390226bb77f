#include "chunk_store.h"

#include <utility>

#include "failure_type.h"
#include "manifest_func.h"

namespace plantain {

absl::Status ChunkStore::Put(const Digest& digest, std::string content, std::vector<Digest>& dropped) {
  if (ComputeDigest(content) != digest) return MakeFailure(FailureCode::kDigestMismatch, FormatDigest(digest));
  if (Has(digest)) return absl::OkStatus();
  if (!EvictToFit(content.size(), dropped))
    return MakeFailure(FailureCode::kMemoryLimit, "too few unpinned chunks to evict");
  m_used += Bytes(content.size());
  Entry entry;
  entry.content = std::make_shared<const std::string>(std::move(content));
  entry.position = m_lru_order.insert(m_lru_order.end(), digest);
  m_entries.emplace(digest, std::move(entry));
  return absl::OkStatus();
}

std::shared_ptr<const std::string> ChunkStore::Get(const Digest& digest) {
  const auto found = m_entries.find(digest);
  if (found == m_entries.end()) return nullptr;
  m_lru_order.splice(m_lru_order.end(), m_lru_order, found->second.position);
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
  m_lru_order.erase(entry->second.position);
  m_entries.erase(entry);
}

bool ChunkStore::EvictToFit(uint64_t size, std::vector<Digest>& dropped) {
  if (size > GetAvailableBytes().Get()) return false;
  auto position = m_lru_order.begin();
  while (m_used.Get() + size > m_limit.Get() && position != m_lru_order.end()) {
    const auto entry = m_entries.find(*position++);
    if (entry->second.pins > 0) continue;
    dropped.push_back(entry->first);
    Remove(entry);
  }
  return m_used.Get() + size <= m_limit.Get();
}

}  // namespace plantain

#include "staging_tracker.h"

#include <algorithm>

#include "manifest_func.h"

namespace plantain {

StagingTracker::StagingTracker(const Clock& clock, Duration settle)
    : m_clock(clock), m_settle(settle), m_settled_at(clock.GetNow() + settle) {}

bool StagingTracker::IsSettling() const { return m_clock.GetNow() < m_settled_at; }

bool StagingTracker::MayUpload(const Digest& manifest) const {
  if (IsSettling() && (m_settling.IsEmpty() || manifest != m_settling)) return false;
  return m_access == Access::kAll || (m_access == Access::kReserved && manifest == m_reserved);
}

bool StagingTracker::BeginManifest(const Digest& manifest, size_t chunks) {
  const std::lock_guard lock(m_mutex);
  if (!MayUpload(manifest)) return false;
  m_manifest = manifest;
  m_uploaded.assign(chunks, false);
  return true;
}

bool StagingTracker::BeginUpload(const Digest& manifest) {
  const std::lock_guard lock(m_mutex);
  if (!MayUpload(manifest)) return false;
  ++m_uploads_in_flight;
  return true;
}

void StagingTracker::EndUpload(const Digest& manifest, uint32_t index, UploadEnd end) {
  const std::lock_guard lock(m_mutex);
  --m_uploads_in_flight;
  DropSettledUploads();
  if (end == UploadEnd::kUnknown) m_unanswered.push_back({manifest, m_clock.GetNow()});
  const bool is_stored = end == UploadEnd::kStored;
  if (is_stored && manifest == m_manifest && index < m_uploaded.size()) m_uploaded[index] = true;
}

bool StagingTracker::Freeze(const Digest& manifest) {
  const std::lock_guard lock(m_mutex);
  const bool is_complete = std::find(m_uploaded.begin(), m_uploaded.end(), false) == m_uploaded.end();
  if (m_manifest != manifest || m_uploaded.empty() || !is_complete) return false;
  m_access = Access::kFrozen;
  m_reserved = manifest;
  return true;
}

void StagingTracker::DropSettledUploads() {
  const TimePoint now = m_clock.GetNow();
  std::erase_if(m_unanswered, [&](const UnansweredUpload& upload) { return now - upload.ended_at >= m_settle; });
}

bool StagingTracker::AreUploadsDone() const {
  const std::lock_guard lock(m_mutex);
  const TimePoint now = m_clock.GetNow();
  const auto may_arrive = [&](const UnansweredUpload& upload) {
    return upload.manifest != m_reserved && now - upload.ended_at < m_settle;
  };
  return m_uploads_in_flight == 0 && std::none_of(m_unanswered.begin(), m_unanswered.end(), may_arrive);
}

void StagingTracker::Reserve() {
  const std::lock_guard lock(m_mutex);
  if (m_access == Access::kFrozen) m_access = Access::kReserved;
}

void StagingTracker::Release() {
  const std::lock_guard lock(m_mutex);
  m_access = Access::kAll;
  m_reserved = Digest();
}

void StagingTracker::ReleaseAfterSettle() {
  const std::lock_guard lock(m_mutex);
  m_settling = m_reserved;
  m_settled_at = m_clock.GetNow() + m_settle;
  m_access = Access::kAll;
  m_reserved = Digest();
}

Digest StagingTracker::GetReserved() const {
  const std::lock_guard lock(m_mutex);
  return m_reserved.IsEmpty() && IsSettling() ? m_settling : m_reserved;
}

void StagingTracker::Invalidate() {
  const std::lock_guard lock(m_mutex);
  m_manifest = Digest();
  m_uploaded.clear();
}

std::pair<Digest, std::string> StagingTracker::Get() const {
  const std::lock_guard lock(m_mutex);
  return {m_manifest, PackBits(m_uploaded)};
}

}  // namespace plantain

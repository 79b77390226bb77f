// Tracks the content of an engine's staging area, and decides what may be written to it. No I/O.

#ifndef PLANTAIN_STAGING_TRACKER_H_
#define PLANTAIN_STAGING_TRACKER_H_

#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"

namespace plantain {

// How the write of a chunk to the staging area ended.
enum class UploadEnd {
  kStored,
  kRefused,
  // The call ended without an answer, so that the engine may still store the chunk.
  kUnknown,
};

// An engine that keeps one set of chunks per model and does not report its version, so this process records what it
// writes. An order loads what the area holds when the engine takes the order. So the area takes chunks of one manifest
// only from the time that an order is sent until the engine cannot take it any more, and an order is sent only if no
// chunk of another manifest can still arrive. Thread-safe.
class StagingTracker {
 public:
  // `settle` is the time within which the engine executes a call that it received and did not answer. The area takes no
  // chunks for as long after the start, since calls of an earlier process may be left.
  StagingTracker(const Clock& clock, Duration settle);

  // Prepares the area for uploads of another manifest. Returns false while that is not allowed.
  bool BeginManifest(const Digest& manifest, size_t chunks);

  // Counts an upload that is about to be sent. Returns false while none is allowed; otherwise EndUpload must follow.
  bool BeginUpload(const Digest& manifest);
  void EndUpload(const Digest& manifest, uint32_t index, UploadEnd end);

  // Blocks all uploads, so that the engine loads exactly the chunks that are verified next. Returns false if the area
  // does not hold all chunks of the manifest.
  bool Freeze(const Digest& manifest);
  // Whether all uploads have ended, and none of another manifest than the frozen one may still be stored.
  bool AreUploadsDone() const;
  // Allows uploads of the frozen manifest only.
  void Reserve();
  // Allows all uploads.
  void Release();
  // The same, but those of other manifests only after the settle time.
  void ReleaseAfterSettle();

  // Returns the only manifest that may be staged; empty if there is no such limit.
  Digest GetReserved() const;

  // Marks the content of the area as unknown.
  void Invalidate();

  // Returns the manifest and a bitmap of its uploaded chunks; both empty if the content is unknown.
  std::pair<Digest, std::string> Get() const;

 private:
  enum class Access { kAll, kReserved, kFrozen };

  // An upload without an answer.
  struct UnansweredUpload {
    Digest manifest;
    TimePoint ended_at;
  };

  bool IsSettling() const;
  bool MayUpload(const Digest& manifest) const;
  void DropSettledUploads();

  const Clock& m_clock;
  const Duration m_settle;
  mutable std::mutex m_mutex;
  // Until this time, only chunks of one manifest may be staged; none if it is empty.
  TimePoint m_settled_at;
  Digest m_settling;
  Digest m_manifest;
  std::vector<bool> m_uploaded;
  Access m_access = Access::kAll;
  // Manifest that an order names; empty while all uploads are allowed.
  Digest m_reserved;
  size_t m_uploads_in_flight = 0;
  std::vector<UnansweredUpload> m_unanswered;
};

}  // namespace plantain

#endif  // PLANTAIN_STAGING_TRACKER_H_

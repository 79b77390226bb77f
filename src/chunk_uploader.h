// Upload side of chunk transfer: serves chunks and manifests to peers.

#ifndef PLANTAIN_CHUNK_UPLOADER_H_
#define PLANTAIN_CHUNK_UPLOADER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "channel.h"
#include "chunk_store.h"
#include "clock.h"
#include "loop.h"
#include "manifest_index.h"
#include "metrics.h"
#include "transfer_rate.h"
#include "upload_queue.h"

namespace plantain::proto {
class ChunkRequest;
class Interest;
class TransferMessage;
}  // namespace plantain::proto

namespace plantain {

// State shared by the upload and download sides. Accessed only on the transfer thread.
struct TransferState {
  const Clock& clock;
  Loop& loop;
  ChunkStore& store;
  ManifestIndex& manifest_index;
  TransferRateLimits& pace;
  Metrics& metrics;
  VmId vm;
  ZoneName zone;
};

// Replies to interest messages with chunk lists and to requests with chunks, within the rate limits of the links.
class ChunkUploader {
 public:
  // Return the zone of a VM, and whether chunks of a manifest are urgent.
  using FindZone = std::function<ZoneName(const VmId&)>;
  using IsManifestUrgent = std::function<bool(const Digest& manifest)>;

  ChunkUploader(TransferState& state, ChannelContext& context, FindZone find_zone, IsManifestUrgent is_urgent);

  absl::Status Start(const IpAddress& address, Port port);
  void Stop();

  // Announces a stored chunk to the subscribers.
  void OnChunkStored(const Digest& chunk);
  // Sends a manifest that has become known to the subscribers that requested it, and its chunk list to all subscribers.
  void OnManifestKnown(const Digest& manifest);

 private:
  struct Subscriber {
    bool wants_manifest = false;
    // Indices of chunks stored since the last delta was sent.
    std::vector<uint32_t> new_indices;
  };

  void OnMessage(const ConnectionId& from, std::string_view bytes);
  void OnInterest(const ConnectionId& from, const proto::Interest& interest);
  void OnRequest(const ConnectionId& from, const VmId& sender, const proto::ChunkRequest& request);
  void SendHave(const ConnectionId& to, const Digest& manifest);
  void SendManifest(const ConnectionId& to, const Digest& manifest);
  void FlushDeltas();
  bool IsChunkUrgent(const Digest& chunk) const;
  void SendQueuedChunks();
  void SendChunk(const UploadRequest& request);
  bool Send(const ConnectionId& to, proto::TransferMessage& message);

  TransferState& m_state;
  const FindZone m_find_zone;
  const IsManifestUrgent m_is_manifest_urgent;
  ServerChannel m_channel;
  UploadQueue m_queue;
  // Keyed by manifest, then by connection.
  std::map<Digest, std::map<ConnectionId, Subscriber>> m_subscribers;
  std::set<ConnectionId> m_lost;
  std::unique_ptr<Timer> m_delta_timer;
  std::unique_ptr<Timer> m_send_timer;
  prometheus::Counter& m_sent_bytes;
  prometheus::Counter& m_shared_bytes;
  prometheus::Counter& m_busy_replies;
};

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_UPLOADER_H_

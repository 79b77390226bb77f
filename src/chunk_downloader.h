// Download side of chunk transfer: fetches chunks and manifests from peers and the origin.

#ifndef PLANTAIN_CHUNK_DOWNLOADER_H_
#define PLANTAIN_CHUNK_DOWNLOADER_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "channel.h"
#include "chunk_plan.h"
#include "chunk_uploader.h"
#include "weight_port.h"

namespace plantain::proto {
class ChunkReply;
class ManifestReply;
}  // namespace plantain::proto

namespace plantain {

// Settings of the download side.
struct DownloadOptions {
  ChunkPlanOptions plan;
  Port peer_port;
};

// Receives notifications of downloaded manifests and chunks.
class DownloadListener {
 public:
  virtual ~DownloadListener() = default;

  // Called after a manifest has been verified and added to the manifest index.
  virtual void OnManifest(const Digest& manifest) = 0;
  // Called after a chunk has been verified and stored. `evicted` lists the chunks that were evicted for it.
  virtual void OnChunk(const Digest& chunk, const std::vector<Digest>& evicted) = 0;
};

// Executes the chunk plan: maintains connections to its sources, sends its fetches and verifies the replies.
class ChunkDownloader {
 public:
  ChunkDownloader(TransferState& state, ChannelContext& context, DownloadOptions options, ChunkOrigin& origin,
                  Random& random, DownloadListener& listener);
  ~ChunkDownloader();

  // Replaces the list of weights to fetch. The manifest pointer of a want is null until the manifest is known.
  void SetWants(std::vector<WantedManifest> wants);

  void MarkAvailable(const Digest& chunk) { m_plan.MarkAvailable(chunk); }
  void MarkMissing(const Digest& chunk) { m_plan.MarkMissing(chunk); }
  bool IsAvailable(const Digest& chunk) const { return m_plan.IsAvailable(chunk); }

  // Sends as many fetches as the rate limits and the memory limit allow.
  void SendFetches();

  // Detects stalled fetches, repeats interest messages and requests manifests. Must be called periodically.
  void Tick();

  void Stop();

 private:
  struct Link {
    HttpTarget target;
    std::unique_ptr<ClientChannel> channel;
    // Time of the last message from the peer, or of the last interest sent.
    TimePoint last_activity_at;
    // Manifests for which interest has been sent on this connection, and whether it requested the manifest itself.
    std::map<Digest, bool> interests;
  };

  void UpdateLinks();
  void SendInterests(const VmId& vm, Link& link);
  bool MayRequestManifest(const WantedManifest& want, const VmId& vm) const;
  void OnMessage(const VmId& vm, std::string_view bytes);
  void OnManifestReply(const proto::ManifestReply& reply);
  void OnReply(const VmId& vm, proto::ChunkReply& reply);
  void OnContent(const Fetch& fetch, std::string content);

  void SendFetch(const Fetch& fetch);
  void FetchFromOrigin(const Fetch& fetch);
  void OnOriginChunk(const Fetch& fetch, absl::StatusOr<HttpResponse> response);
  void Cancel(const Fetch& fetch);
  void ReturnTokens(const Fetch& fetch);
  void FetchManifests();
  void FetchManifest(const Digest& manifest);
  bool IsManifestDue(const WantedManifest& want) const;

  TransferState& m_state;
  ChannelContext& m_context;
  const DownloadOptions m_options;
  DownloadListener& m_listener;
  ChunkPlan m_plan;
  ChunkOrigin& m_origin;
  std::vector<WantedManifest> m_wants;
  std::map<Digest, TimePoint> m_wanted_since;
  std::map<Digest, std::shared_ptr<HttpCall>> m_manifest_calls;
  std::map<VmId, Link> m_links;
  std::map<FetchId, Fetch> m_fetches;
  std::map<FetchId, std::shared_ptr<HttpCall>> m_origin_calls;
  std::unique_ptr<Timer> m_fetch_timer;
  prometheus::Counter& m_origin_bytes;
  prometheus::Counter& m_peer_bytes;
  prometheus::Counter& m_shared_bytes;
  prometheus::Counter& m_corrupt;
  prometheus::Counter& m_wasted_bytes;
  prometheus::Gauge& m_exclusions;
};

}  // namespace plantain

#endif  // PLANTAIN_CHUNK_DOWNLOADER_H_

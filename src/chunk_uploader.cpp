#include "chunk_uploader.h"

#include "chunk_reply.h"
#include "manifest_func.h"
#include "transfer.pb.h"

namespace plantain {
namespace {

// Limits on queued requests for one connection and in total. The total bounds the waiting time of a request; further
// requests get a busy reply, so that the peer tries another source.
constexpr size_t kMaxQueuedPerPeer = 8;
constexpr size_t kMaxQueued = 24;
constexpr size_t kMaxSubscribers = 2048;
// Batches newly stored chunks into one message; short compared with the transfer time of a chunk.
constexpr Duration kDeltaDelay = Milliseconds(5);
constexpr size_t kMessageOverhead = 64 * 1024;

ChannelOptions MakeChannelOptions() {
  ChannelOptions options;
  options.max_message_bytes = kMaxChunkBytes + kMessageOverhead;
  return options;
}

}  // namespace

ChunkUploader::ChunkUploader(TransferState& state, ChannelContext& context, FindZone find_zone,
                             IsManifestUrgent is_urgent)
    : m_state(state),
      m_find_zone(std::move(find_zone)),
      m_is_manifest_urgent(std::move(is_urgent)),
      m_channel(state.loop, context, MakeChannelOptions(),
                [this](const ConnectionId& from, std::string_view bytes) { OnMessage(from, bytes); }),
      m_queue(kMaxQueuedPerPeer, kMaxQueued),
      m_sent_bytes(state.metrics.GetCounter("plantain_transfer_sent_bytes_total", "Chunk bytes sent to peers.",
                                            {{"link", "zone"}})),
      m_shared_bytes(state.metrics.GetCounter("plantain_transfer_sent_bytes_total", "Chunk bytes sent to peers.",
                                              {{"link", "shared"}})),
      m_busy_replies(state.metrics.GetCounter("plantain_transfer_busy_total", "Chunk requests answered as busy.")) {}

absl::Status ChunkUploader::Start(const IpAddress& address, Port port) { return m_channel.Start(address, port); }

void ChunkUploader::Stop() {
  m_delta_timer.reset();
  m_send_timer.reset();
}

bool ChunkUploader::Send(const ConnectionId& to, proto::TransferMessage& message) {
  message.set_sender(m_state.vm.Get());
  return m_channel.Send(to, message.SerializeAsString());
}

void ChunkUploader::OnMessage(const ConnectionId& from, std::string_view bytes) {
  proto::TransferMessage message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return;
  switch (message.body_case()) {
    case proto::TransferMessage::kInterest:
      OnInterest(from, message.interest());
      break;
    case proto::TransferMessage::kRequest:
      OnRequest(from, VmId(message.sender()), message.request());
      break;
    case proto::TransferMessage::kCancel:
      m_queue.Cancel(from.Get(), message.cancel().id());
      break;
    default:
      break;
  }
}

void ChunkUploader::OnInterest(const ConnectionId& from, const proto::Interest& interest) {
  const Digest manifest(interest.manifest());
  if (manifest.Get().size() != kDigestBytes) return;
  std::map<ConnectionId, Subscriber>& subscribers = m_subscribers[manifest];
  if (subscribers.size() >= kMaxSubscribers && !subscribers.contains(from)) return;
  Subscriber& subscriber = subscribers[from];
  subscriber.wants_manifest = interest.want_manifest();
  if (m_state.manifest_index.Find(manifest) == nullptr) return;
  if (subscriber.wants_manifest) {
    subscriber.wants_manifest = false;
    SendManifest(from, manifest);
  }
  subscriber.new_indices.clear();
  SendHave(from, manifest);
}

void ChunkUploader::SendManifest(const ConnectionId& to, const Digest& manifest) {
  proto::TransferMessage message;
  message.mutable_manifest()->set_manifest(manifest.Get());
  message.mutable_manifest()->set_content(m_state.manifest_index.Find(manifest)->content);
  Send(to, message);
}

void ChunkUploader::SendHave(const ConnectionId& to, const Digest& manifest) {
  const auto known = m_state.manifest_index.Find(manifest);
  std::vector<bool> bits(known->chunks.size(), false);
  for (size_t i = 0; i < bits.size(); ++i) bits[i] = m_state.store.Has(known->chunks[i].digest);
  proto::TransferMessage message;
  message.mutable_have()->set_manifest(manifest.Get());
  message.mutable_have()->set_bits(PackBits(bits));
  Send(to, message);
}

void ChunkUploader::OnManifestKnown(const Digest& manifest) {
  const auto found = m_subscribers.find(manifest);
  if (found == m_subscribers.end()) return;
  for (auto& [connection, subscriber] : found->second) {
    if (subscriber.wants_manifest) SendManifest(connection, manifest);
    subscriber.wants_manifest = false;
    SendHave(connection, manifest);
  }
}

void ChunkUploader::OnChunkStored(const Digest& chunk) {
  for (const ChunkPosition& place : m_state.manifest_index.FindPositions(chunk)) {
    const auto found = m_subscribers.find(place.manifest);
    if (found == m_subscribers.end()) continue;
    for (auto& [connection, subscriber] : found->second) subscriber.new_indices.push_back(place.index);
  }
  if (m_delta_timer == nullptr) {
    m_delta_timer = m_state.loop.RunAfter(kDeltaDelay, [this] { FlushDeltas(); });
  }
}

void ChunkUploader::FlushDeltas() {
  m_delta_timer.reset();
  for (auto& [manifest, subscribers] : m_subscribers) {
    for (auto entry = subscribers.begin(); entry != subscribers.end();) {
      const auto current = entry++;
      if (current->second.new_indices.empty()) continue;
      proto::TransferMessage message;
      message.mutable_delta()->set_manifest(manifest.Get());
      for (const uint32_t index : current->second.new_indices) message.mutable_delta()->add_index(index);
      current->second.new_indices.clear();
      // A failed send means that the connection is closed; a peer that is still interested sends its interest again.
      if (!Send(current->first, message)) subscribers.erase(current);
    }
  }
}

bool ChunkUploader::IsChunkUrgent(const Digest& chunk) const {
  for (const ChunkPosition& place : m_state.manifest_index.FindPositions(chunk)) {
    if (m_is_manifest_urgent(place.manifest)) return true;
  }
  return false;
}

void ChunkUploader::OnRequest(const ConnectionId& from, const VmId& sender, const proto::ChunkRequest& request) {
  const Digest chunk(request.digest());
  const auto content = m_state.store.Get(chunk);
  UploadRequest upload;
  upload.connection = from.Get();
  upload.id = request.id();
  upload.chunk = chunk;
  const bool is_stored = content != nullptr;
  if (is_stored) {
    upload.size = static_cast<uint32_t>(content->size());
    upload.is_urgent = IsChunkUrgent(chunk);
    upload.is_cross_zone = m_find_zone(sender) != m_state.zone;
    if (m_queue.Add(std::move(upload))) {
      SendQueuedChunks();
      return;
    }
    m_busy_replies.Increment();
  }
  proto::TransferMessage message;
  message.mutable_reply()->set_id(request.id());
  message.mutable_reply()->set_digest(request.digest());
  message.mutable_reply()->set_busy(is_stored);
  Send(from, message);
}

void ChunkUploader::SendQueuedChunks() {
  if (m_send_timer != nullptr) return;
  while (!m_queue.IsEmpty()) {
    const TimePoint now = m_state.clock.GetNow();
    const Duration delay = m_state.pace.GetUpload().GetDelay(now);
    if (delay > Duration::zero()) {
      m_send_timer = m_state.loop.RunAfter(delay, [this] {
        m_send_timer.reset();
        SendQueuedChunks();
      });
      return;
    }
    const auto request = m_queue.Take(m_state.pace.GetCrossZoneUpload().IsOpen(now));
    if (!request.has_value()) {
      m_send_timer = m_state.loop.RunAfter(m_state.pace.GetCrossZoneUpload().GetDelay(now), [this] {
        m_send_timer.reset();
        SendQueuedChunks();
      });
      return;
    }
    SendChunk(*request);
  }
}

void ChunkUploader::SendChunk(const UploadRequest& request) {
  const auto content = m_state.store.Get(request.chunk);
  const ConnectionId to(request.connection);
  if (content == nullptr) {
    m_channel.Send(to, FormatChunkReply(m_state.vm, request.id, request.chunk, std::string()));
    return;
  }
  if (!m_channel.SendOwned(to, FormatChunkReply(m_state.vm, request.id, request.chunk, *content))) return;
  const TimePoint now = m_state.clock.GetNow();
  const Bytes size(content->size());
  m_state.pace.GetUpload().Take(size, now);
  if (request.is_cross_zone) m_state.pace.GetCrossZoneUpload().Take(size, now);
  (request.is_cross_zone ? m_shared_bytes : m_sent_bytes).Increment(static_cast<double>(size.Get()));
}

}  // namespace plantain

#include "upload_queue.h"

#include <algorithm>
#include <utility>

namespace plantain {

bool UploadQueue::Add(UploadRequest request) {
  if (m_size >= m_max_total) return false;
  Queues& queues = GetLane(request.is_hurried, request.is_cross_zone).queues;
  std::deque<UploadRequest>& queue = queues[request.connection];
  if (queue.size() >= m_max_per_connection) return false;
  queue.push_back(std::move(request));
  ++m_size;
  return true;
}

void UploadQueue::Cancel(const std::string& connection, uint64_t id) {
  for (Lane& lane : m_lanes) {
    const auto found = lane.queues.find(connection);
    if (found == lane.queues.end()) continue;
    m_size -= std::erase_if(found->second, [&](const UploadRequest& request) { return request.id == id; });
    if (found->second.empty()) lane.queues.erase(found);
  }
}

std::optional<UploadRequest> UploadQueue::Take(bool is_shared_open) {
  for (const bool is_hurried : {true, false}) {
    for (const bool is_cross_zone : {true, false}) {
      if (is_cross_zone && !is_shared_open) continue;
      if (std::optional<UploadRequest> request = TakeFrom(GetLane(is_hurried, is_cross_zone))) return request;
    }
  }
  return std::nullopt;
}

std::optional<UploadRequest> UploadQueue::TakeFrom(Lane& lane) {
  if (lane.queues.empty()) return std::nullopt;
  auto queue = lane.queues.upper_bound(lane.last);
  if (queue == lane.queues.end()) queue = lane.queues.begin();
  UploadRequest request = std::move(queue->second.front());
  queue->second.pop_front();
  lane.last = queue->first;
  if (queue->second.empty()) lane.queues.erase(queue);
  --m_size;
  return request;
}

}  // namespace plantain

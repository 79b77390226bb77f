#include "upload_queue.h"

#include <algorithm>
#include <utility>

namespace plantain {

bool UploadQueue::Add(UploadRequest request) {
  if (m_size >= m_max_total) return false;
  Queues& queues = GetPriorityClass(request.is_urgent, request.is_cross_zone).queues;
  std::deque<UploadRequest>& queue = queues[request.connection];
  if (queue.size() >= m_max_per_connection) return false;
  queue.push_back(std::move(request));
  ++m_size;
  return true;
}

void UploadQueue::Cancel(const std::string& connection, uint64_t id) {
  for (PriorityClass& priority_class : m_priority_classes) {
    const auto found = priority_class.queues.find(connection);
    if (found == priority_class.queues.end()) continue;
    m_size -= std::erase_if(found->second, [&](const UploadRequest& request) { return request.id == id; });
    if (found->second.empty()) priority_class.queues.erase(found);
  }
}

std::optional<UploadRequest> UploadQueue::Take(bool is_shared_open) {
  for (const bool is_urgent : {true, false}) {
    for (const bool is_cross_zone : {true, false}) {
      if (is_cross_zone && !is_shared_open) continue;
      if (std::optional<UploadRequest> request = PopFrom(GetPriorityClass(is_urgent, is_cross_zone))) return request;
    }
  }
  return std::nullopt;
}

std::optional<UploadRequest> UploadQueue::PopFrom(PriorityClass& priority_class) {
  if (priority_class.queues.empty()) return std::nullopt;
  auto queue = priority_class.queues.upper_bound(priority_class.last_served);
  if (queue == priority_class.queues.end()) queue = priority_class.queues.begin();
  UploadRequest request = std::move(queue->second.front());
  queue->second.pop_front();
  priority_class.last_served = queue->first;
  if (queue->second.empty()) priority_class.queues.erase(queue);
  --m_size;
  return request;
}

}  // namespace plantain

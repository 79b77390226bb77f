// Scheduling of chunk requests from peers. Does no I/O.

#ifndef PLANTAIN_UPLOAD_QUEUE_H_
#define PLANTAIN_UPLOAD_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core_type.h"

namespace plantain {

// A chunk request from a peer.
struct UploadRequest {
  // Connection to send the reply on.
  std::string connection;
  uint64_t id = 0;
  Digest chunk;
  uint32_t size = 0;
  bool is_urgent = false;
  // Whether the reply uses the shared link between zones.
  bool is_cross_zone = false;
};

// Priority queue: urgent requests are served before routine ones. Within a class, requests from other zones are served
// first, since a whole zone waits for each of them. Connections are then served round-robin, so that the long queue of
// one peer does not delay the others.
class UploadQueue {
 public:
  UploadQueue(size_t max_per_connection, size_t max_total)
      : m_max_per_connection(max_per_connection), m_max_total(max_total) {}

  // Returns false if the limit for the connection or the total limit is reached.
  bool Add(UploadRequest request);

  void Cancel(const std::string& connection, uint64_t id);

  // Removes and returns the next request. Skips requests over the link between zones unless `is_shared_open`.
  std::optional<UploadRequest> Take(bool is_shared_open);

  bool IsEmpty() const { return m_size == 0; }

 private:
  using Queues = std::map<std::string, std::deque<UploadRequest>>;

  // Requests of one priority class, by connection.
  struct PriorityClass {
    Queues queues;
    // Connection served last.
    std::string last_served;
  };

  PriorityClass& GetPriorityClass(bool is_urgent, bool is_cross_zone) {
    return m_priority_classes[(is_urgent ? 0 : 2) + (is_cross_zone ? 0 : 1)];
  }
  std::optional<UploadRequest> PopFrom(PriorityClass& priority_class);

  const size_t m_max_per_connection;
  const size_t m_max_total;
  size_t m_size = 0;
  // Ordered by priority, highest first.
  std::array<PriorityClass, 4> m_priority_classes;
};

}  // namespace plantain

#endif  // PLANTAIN_UPLOAD_QUEUE_H_

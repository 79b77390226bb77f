// Table of attempts in progress on an agent and of recently ended attempt ids.

#ifndef PLANTAIN_ATTEMPT_TABLE_H_
#define PLANTAIN_ATTEMPT_TABLE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "admission.h"
#include "attempt.pb.h"
#include "channel.h"
#include "completion_stream.h"
#include "core_type.h"
#include "http_client.h"

namespace plantain {

// Attempt ids are unique only within one connection.
struct AttemptKey {
  ConnectionId from;
  AttemptId id;

  auto operator<=>(const AttemptKey&) const = default;
};

// State of an attempt in progress. Must only be used on its traffic loop.
struct Attempt {
  AttemptKey key;
  proto::AttemptStart start;
  TimePoint deadline;
  // Set while the attempt waits for admission.
  std::optional<WaiterId> waiter;
  // Set while the attempt holds an admission slot.
  std::optional<SlotId> slot;
  TimePoint admitted_at;
  // Weights that the attempt entered the gate for. If set, it must leave the gate when it ends.
  std::optional<Digest> manifest;
  std::unique_ptr<CompletionStream> stream;
  std::shared_ptr<HttpCall> call;
  bool has_token = false;
  bool is_ended = false;
};

// Tracks attempts in progress and recently used ids, so that a duplicate start message is not executed again.
class AttemptTable {
 public:
  AttemptTable() = default;
  // Cancels the calls in progress, which breaks the reference cycle between an attempt and the callbacks of its call.
  ~AttemptTable();
  AttemptTable(const AttemptTable&) = delete;
  AttemptTable& operator=(const AttemptTable&) = delete;

  // Adds an attempt. Returns null if the id is in use or was used recently on this connection.
  std::shared_ptr<Attempt> Add(const AttemptKey& key);

  // Returns the attempt in progress with this key, or null.
  std::shared_ptr<Attempt> Find(const AttemptKey& key) const;

  // Removes an attempt and records its id as used.
  void Remove(const AttemptKey& key);

  size_t GetSize() const { return m_attempts.size(); }

 private:
  // Number of ended ids to keep. Entries never reuse an id, so this only has to cover duplicates still in transit.
  static constexpr size_t kMaxEndedIds = 16'384;

  std::map<AttemptKey, std::shared_ptr<Attempt>> m_attempts;
  std::set<AttemptKey> m_ended;
  std::deque<AttemptKey> m_ended_order;
};

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_TABLE_H_

// Deduplication of callers' retries: a retry joins the request that is still running, or gets its cached answer.

#ifndef PLANTAIN_JOIN_TABLE_H_
#define PLANTAIN_JOIN_TABLE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "clock.h"
#include "entry_type.h"

namespace plantain {

// The answer to one request, published to every caller that waits for it. Used on one traffic loop.
class SharedAnswer {
 public:
  // Adds a sink. It receives the tokens published so far and, if the request has finished, its completion or failure.
  void AddSink(std::shared_ptr<AnswerSink> sink);

  // Removes the sink of a caller that has disconnected.
  void RemoveSink(const AnswerSink* sink);

  void PublishToken(std::string text, const Digest& manifest);
  void PublishComplete(int status, std::string body);
  void PublishFailed(const EntryError& error);

  const EntryAnswer& GetAnswer() const { return m_answer; }
  size_t GetSinkCount() const { return m_sinks.size(); }
  bool IsFinished() const { return m_is_finished; }

 private:
  EntryAnswer m_answer;
  EntryError m_error;
  bool m_is_finished = false;
  std::vector<std::shared_ptr<AnswerSink>> m_sinks;
};

struct JoinOptions {
  // Time for which a complete answer is cached for the caller's retries.
  Duration retention = std::chrono::seconds(30);
  // Memory limit for cached answers; the oldest are evicted first.
  size_t max_bytes = 16 * 1024 * 1024;
};

// Indexes answers by workspace and request id. A failed request is removed at once, so that a retry is executed again.
class JoinTable {
 public:
  JoinTable(const Clock& clock, JoinOptions options) : m_clock(clock), m_options(options) {}

  // Adds a request that starts to run. It replaces an older request with the same id.
  void Add(const EntryRequest& request, std::shared_ptr<SharedAnswer> answer);

  // Returns the answer that a retry can join, or null. The fingerprints must match, because a caller that reuses an id
  // for a different request must not get the answer of the earlier one.
  std::shared_ptr<SharedAnswer> Find(const EntryRequest& request);

  // Handles the end of a request. A complete answer is cached; a failed request is removed.
  void OnFinished(const EntryRequest& request, const SharedAnswer& answer);

  size_t GetSize() const { return m_entries.size(); }
  size_t GetBytes() const { return m_bytes; }

 private:
  using Key = std::pair<WorkspaceName, RequestId>;

  struct Entry {
    uint64_t fingerprint = 0;
    std::shared_ptr<SharedAnswer> answer;
    size_t bytes = 0;
  };

  struct CachedAnswer {
    TimePoint expires_at;
    Key key;
    // Compared with the current entry, which may have been replaced by a newer request.
    const SharedAnswer* answer;
  };

  void EvictExpired();
  void EvictOldest();

  const Clock& m_clock;
  const JoinOptions m_options;
  std::map<Key, Entry> m_entries;
  std::deque<CachedAnswer> m_cached;
  size_t m_bytes = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_JOIN_TABLE_H_

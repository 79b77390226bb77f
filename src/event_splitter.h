// Splits a stream of server-sent events into whole events without changing a byte.

#ifndef PLANTAIN_EVENT_SPLITTER_H_
#define PLANTAIN_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantain {

// Maximum length of one event with the comments before it, and so the memory held for one stream.
constexpr size_t kMaxEventBytes = 1024 * 1024;

// Used for one answer of one endpoint. Bytes of an event that is not yet whole are kept back, so that an endpoint that
// breaks off in the middle of an event leaves nothing of it at the caller. Comments are kept back until the next event,
// since they are no events by themselves.
class EventSplitter {
 public:
  // Events with ids up to `after` are dropped, because the caller has them already.
  explicit EventSplitter(std::optional<uint64_t> after = std::nullopt) : m_last_id(after) {}

  // Takes bytes and returns those of the events that they complete.
  std::string Take(std::string_view data);

  // Whether all bytes so far belong to whole events and whole comments.
  bool IsAtBoundary() const { return m_partial.size() == m_block_begin; }

  // Returns the comments that are kept back, for the end of the stream.
  std::string TakeComments();

  // Whether more bytes are kept back than one event may have. No more may be taken then.
  bool IsTooLong() const { return m_partial.size() > kMaxEventBytes; }

  // Number of bytes that are kept back.
  size_t GetHeldBytes() const { return m_partial.size(); }

  // Number of whole events, without repetitions of events that this answer has sent before.
  uint64_t GetProgress() const { return m_progress; }

  // Returns the id of the last whole event, or nothing if none had one.
  std::optional<uint64_t> GetLastId() const { return m_last_id; }

  // Number of whole events returned.
  uint64_t GetCount() const { return m_count; }

  // Whether an event was missing before one that arrived. Ids count up by one.
  bool HasGap() const { return m_has_gap; }

 private:
  void TakeEvent(std::string_view event, std::string& out);

  std::string m_partial;
  // End of the whole comments in m_partial, behind which an event or a comment has begun.
  size_t m_block_begin = 0;
  std::optional<uint64_t> m_last_id;
  // Highest id of the events of this answer, with those that were dropped.
  std::optional<uint64_t> m_newest_id;
  uint64_t m_count = 0;
  uint64_t m_progress = 0;
  bool m_has_gap = false;
};

}  // namespace plantain

#endif  // PLANTAIN_EVENT_SPLITTER_H_

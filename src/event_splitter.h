// Splits a stream of server-sent events into whole events without changing a byte.

#ifndef PLANTAIN_EVENT_SPLITTER_H_
#define PLANTAIN_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantain {

// Used for one answer of one endpoint. Bytes of an event that is not yet whole are kept back, so that an endpoint that
// breaks off in the middle of an event leaves nothing of it at the caller.
class EventSplitter {
 public:
  // Events with ids up to `after` are dropped, because the caller has them already.
  explicit EventSplitter(std::optional<uint64_t> after = std::nullopt) : m_last_id(after) {}

  // Takes bytes and returns those of the events that they complete.
  std::string Take(std::string_view data);

  // Whether all bytes so far belong to whole events.
  bool IsAtBoundary() const { return m_partial.empty(); }

  // Returns the id of the last whole event, or nothing if none had one.
  std::optional<uint64_t> GetLastId() const { return m_last_id; }

  // Number of whole events returned.
  uint64_t GetCount() const { return m_count; }

  // Whether an event was missing before one that arrived. Ids count up by one.
  bool HasGap() const { return m_has_gap; }

 private:
  void TakeEvent(std::string_view event, std::string& out);

  std::string m_partial;
  std::optional<uint64_t> m_last_id;
  uint64_t m_count = 0;
  bool m_has_gap = false;
};

}  // namespace plantain

#endif  // PLANTAIN_EVENT_SPLITTER_H_

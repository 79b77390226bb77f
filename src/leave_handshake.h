// When an agent that leaves can be sure that no entry sends it anything more.

#ifndef PLANTAIN_LEAVE_HANDSHAKE_H_
#define PLANTAIN_LEAVE_HANDSHAKE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>

#include "channel.h"
#include "core_type.h"

namespace plantain {

// An agent tells each entry that it leaves; the entry sends the notice back, and sends no attempt behind it. Messages
// of a connection keep their order, so that every attempt of an entry has arrived once its reply has. No I/O.
class LeaveHandshake {
 public:
  // Longest wait for a reply. An entry that is cut off or stands still does not hold up the stop.
  static constexpr Duration kReplyTimeout = std::chrono::seconds(1);

  // The notice was sent on a connection.
  void OnNotified(const ConnectionId& connection, TimePoint now) {
    if (m_notified.insert(connection).second) m_waiting.emplace(connection, now);
  }

  void OnReply(const ConnectionId& connection) { m_waiting.erase(connection); }

  bool IsNotified(const ConnectionId& connection) const { return m_notified.contains(connection); }

  // Whether all entries have replied, or have had too much time for it.
  bool IsComplete(TimePoint now) const {
    return std::all_of(m_waiting.begin(), m_waiting.end(),
                       [now](const auto& waiting) { return now - waiting.second >= kReplyTimeout; });
  }

  // Number of connections on which no reply has come.
  size_t GetWaiting() const { return m_waiting.size(); }

 private:
  std::set<ConnectionId> m_notified;
  // Connections without a reply, and when the notice was sent there.
  std::map<ConnectionId, TimePoint> m_waiting;
};

}  // namespace plantain

#endif  // PLANTAIN_LEAVE_HANDSHAKE_H_

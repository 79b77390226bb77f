// Bounds what callers make this process hold: heads, trailers, bodies, bytes that are not parsed yet, requests in
// progress and answers that are not read. No I/O.

#ifndef PLANTAIN_CALLER_MEMORY_H_
#define PLANTAIN_CALLER_MEMORY_H_

#include <cstddef>
#include <limits>
#include <memory>
#include <set>
#include <string_view>

#include "clock.h"
#include "core_type.h"

namespace plantain {

// Memory that a connection takes without any request: its session and what the kernel keeps for it.
constexpr size_t kConnectionBytes = 4096;
// A connection that holds at most this much is small. An ordinary request and its copies stay below it.
constexpr size_t kSmallConnectionBytes = 64 * 1024;

// What a connection waits for.
enum class CallerState {
  // The first byte of a request.
  kIdle,
  // The rest of a request, from the caller.
  kReading,
  // The answer, which does not depend on the caller.
  kHandled,
  // The caller, to take the answer.
  kWriting,
  // The caller's close, after the last answer.
  kClosing,
};

enum class ShedCause { kMemory, kConnections };

std::string_view GetCallerStateName(CallerState state);
std::string_view GetShedCauseName(ShedCause cause);

// A connection whose memory is counted.
class CallerConnection {
 public:
  virtual ~CallerConnection() = default;

  // Gives up what the connection holds: refuses a request that has not been handled, or else closes the connection.
  virtual void Shed(ShedCause cause) = 0;
};

struct ShedInfo {
  ShedCause cause;
  CallerState state;
  size_t held;
  // Time since the connection last made progress.
  Duration stalled;
  size_t used;
  size_t connections;
};

// Observes a CallerMemory, for metrics and logs.
class CallerMemoryListener {
 public:
  virtual ~CallerMemoryListener() = default;
  virtual void OnUsed(size_t bytes) = 0;
  virtual void OnConnections(size_t count) = 0;
  virtual void OnShed(const ShedInfo& info) = 0;
  // A request was refused, or a connection not accepted, because nothing else could be shed.
  virtual void OnRefused(ShedCause cause) = 0;
  // The largest request that operators allow does not fit into the memory of the VM.
  virtual void OnLargestTooLarge(size_t needed, size_t available) = 0;
};

// The default values do not limit anything.
struct CallerMemoryLimits {
  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max() / 16;

  // What all connections may hold together.
  size_t memory = kUnlimited;
  // What they may hold at most if the largest request that operators allow needs more than `memory`.
  size_t max_memory = kUnlimited;
  size_t connections = kUnlimited;
};

// Returns the limits of one of `parts` equal parts of a share of the VM's memory and of the process's descriptors.
CallerMemoryLimits ComputeCallerMemoryLimits(Bytes vm_memory, size_t memory_divisor, size_t descriptors, size_t parts);

class CallerAccount;

// Load pattern: many connections each hold as much as a single one may, and stop before the end of their request or
// do not read their answer, beside callers with small requests. So when memory is short the connection goes whose bytes
// times the time without progress are the most, and a quarter is reserved for connections that hold little. A request
// that was handed on is not shed while it waits for its answer, since its caller cannot speed that up.
//
// Used on one loop only. Each loop has its own, with a part of the process's memory.
class CallerMemory {
 public:
  // `listener` may be null.
  CallerMemory(const Clock& clock, CallerMemoryLimits limits, std::unique_ptr<CallerMemoryListener> listener = nullptr);
  ~CallerMemory();
  CallerMemory(const CallerMemory&) = delete;
  CallerMemory& operator=(const CallerMemory&) = delete;

  // Makes room for one more connection. Returns false if there is none.
  [[nodiscard]] bool AdmitConnection();

  // Sheds the connection that is needed least, to free its descriptor. Returns false if all are needed.
  bool ShedConnection();

  // States the largest request that operators allow, which must fit when nothing else is held.
  void SetLargestRequest(size_t header_bytes, size_t body_bytes);

  // Whether more is held than allowed, because answers have grown.
  bool IsOver() const { return m_used > m_limit || m_large_used > m_limit - GetReserved(); }
  // Sheds connections until no more is held than allowed, or no connection can be shed.
  void ShedExcess();

  size_t GetUsed() const { return m_used; }
  size_t GetLimit() const { return m_limit; }
  size_t GetConnectionCount() const { return m_accounts.size(); }

 private:
  friend class CallerAccount;

  size_t GetReserved() const;
  bool Fits(const CallerAccount& account, size_t bytes) const;
  bool Reserve(CallerAccount& account, size_t bytes);
  void Set(CallerAccount& account, size_t bytes);
  void Add(CallerAccount& account);
  void Remove(CallerAccount& account);
  // Returns the connection to shed, which may be the requester itself, or null. `requester` may be null; it counts as
  // holding `bytes`.
  CallerAccount* FindVictim(bool is_for_large, const CallerAccount* requester, size_t bytes) const;
  void Shed(CallerAccount& account, ShedCause cause);

  const Clock& m_clock;
  const CallerMemoryLimits m_limits;
  const std::unique_ptr<CallerMemoryListener> m_listener;
  size_t m_limit;
  size_t m_used = 0;
  // What connections hold that are not small.
  size_t m_large_used = 0;
  // Open connections.
  std::set<CallerAccount*> m_accounts;
};

// What one connection holds. Returns it when destroyed.
class CallerAccount {
 public:
  CallerAccount(std::shared_ptr<CallerMemory> memory, CallerConnection& connection);
  ~CallerAccount();
  CallerAccount(const CallerAccount&) = delete;
  CallerAccount& operator=(const CallerAccount&) = delete;

  // Asks to hold so many bytes in all, for which others may be shed. Returns false, and changes nothing, if that is
  // more than the connection may hold. Never call it from within a handler of requests, whose state shedding changes.
  [[nodiscard]] bool Reserve(size_t bytes) { return m_memory->Reserve(*this, bytes); }
  // States what the connection holds. Sheds nothing.
  void Set(size_t bytes) { m_memory->Set(*this, bytes); }

  void SetState(CallerState state);
  // States that the caller has sent or taken so many bytes. Progress is made with every few KiB, so that a caller who
  // sends single bytes makes none.
  void RecordProgress(size_t bytes);

  // The connection is closed. What it holds stays counted until the account is destroyed or states less.
  void Leave() { m_memory->Remove(*this); }

 private:
  friend class CallerMemory;

  const std::shared_ptr<CallerMemory> m_memory;
  CallerConnection& m_connection;
  CallerState m_state = CallerState::kIdle;
  size_t m_held = 0;
  size_t m_progress = 0;
  TimePoint m_progress_at;
  bool m_is_shed = false;
};

}  // namespace plantain

#endif  // PLANTAIN_CALLER_MEMORY_H_

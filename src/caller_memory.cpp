#include "caller_memory.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace plantain {
namespace {

// Part of the limit that only small connections may use.
constexpr size_t kReservedDivisor = 4;
// Bytes after which a caller has made progress.
constexpr size_t kProgressBytes = 4096;
// Stall time of a connection that has just made progress, so that the one that holds most goes first among such.
constexpr Duration kMinStall = Milliseconds(1);
// An answer is cut off for the descriptor of a new connection only if its caller has taken nothing for so long.
constexpr Duration kMinWriteStall = std::chrono::seconds(1);
// A request in progress, the request of its attempt, and the message that the client writes.
constexpr size_t kRequestCopies = 3;
// Descriptors for everything but connections of callers and of endpoints: sockets that listen, store, peers, logs.
constexpr size_t kOtherDescriptors = 64;
// Half of the rest is for connections to endpoints, one for each request in progress.
constexpr size_t kDescriptorDivisor = 2;
constexpr size_t kMinConnections = 16;
// Idle connections hold at most this part of the limit.
constexpr size_t kIdleDivisor = 2;
// The limit rises at most to this part of the VM's memory.
constexpr size_t kMaxMemoryDivisor = 2;

// Returns the order in which connections are closed when descriptors are short, the lowest first; nullopt must stay.
std::optional<int> GetConnectionRank(CallerState state) {
  switch (state) {
    case CallerState::kClosing:
      return 0;
    case CallerState::kReading:
    case CallerState::kIdle:
      return 1;
    case CallerState::kWriting:
      return 2;
    case CallerState::kHandled:
      break;
  }
  return std::nullopt;
}

bool IsLarge(size_t bytes) { return bytes > kSmallConnectionBytes; }

}  // namespace

std::string_view GetCallerStateName(CallerState state) {
  switch (state) {
    case CallerState::kIdle:
      return "idle";
    case CallerState::kReading:
      return "reading";
    case CallerState::kHandled:
      return "handled";
    case CallerState::kWriting:
      return "writing";
    case CallerState::kClosing:
      return "closing";
  }
  return "unknown";
}

std::string_view GetShedCauseName(ShedCause cause) { return cause == ShedCause::kMemory ? "memory" : "connections"; }

CallerMemoryLimits ComputeCallerMemoryLimits(Bytes vm_memory, size_t memory_divisor, size_t descriptors, size_t parts) {
  CallerMemoryLimits limits;
  limits.memory = vm_memory.Get() / memory_divisor / parts;
  limits.max_memory = std::max(limits.memory, vm_memory.Get() / kMaxMemoryDivisor / parts);
  const size_t free_descriptors = descriptors > kOtherDescriptors ? descriptors - kOtherDescriptors : 0;
  const size_t by_memory = limits.memory / kIdleDivisor / kConnectionBytes;
  limits.connections = std::max(kMinConnections, std::min(free_descriptors / kDescriptorDivisor / parts, by_memory));
  return limits;
}

CallerMemory::CallerMemory(const Clock& clock, CallerMemoryLimits limits,
                           std::unique_ptr<CallerMemoryListener> listener)
    : m_clock(clock), m_limits(limits), m_listener(std::move(listener)), m_limit(limits.memory) {}

CallerMemory::~CallerMemory() = default;

size_t CallerMemory::GetReserved() const { return m_limit / kReservedDivisor; }

void CallerMemory::SetLargestRequest(size_t header_bytes, size_t body_bytes) {
  const size_t bytes = kConnectionBytes + kSmallConnectionBytes + kRequestCopies * (header_bytes + body_bytes);
  const size_t needed = bytes + bytes / (kReservedDivisor - 1) + 1;
  m_limit = std::clamp(needed, m_limits.memory, m_limits.max_memory);
  if (needed > m_limit && m_listener != nullptr) m_listener->OnLargestTooLarge(needed, m_limit);
}

bool CallerMemory::AdmitConnection() {
  while (m_accounts.size() >= m_limits.connections) {
    if (ShedConnection()) continue;
    if (m_listener != nullptr) m_listener->OnRefused(ShedCause::kConnections);
    return false;
  }
  return true;
}

bool CallerMemory::ShedConnection() {
  const TimePoint now = m_clock.GetNow();
  CallerAccount* victim = nullptr;
  std::pair<int, TimePoint> lowest;
  for (CallerAccount* account : m_accounts) {
    const std::optional<int> rank = GetConnectionRank(account->m_state);
    if (!rank.has_value()) continue;
    const bool is_taken = account->m_state == CallerState::kWriting && now - account->m_progress_at < kMinWriteStall;
    if (is_taken) continue;
    const std::pair<int, TimePoint> key(*rank, account->m_progress_at);
    if (victim != nullptr && key >= lowest) continue;
    victim = account;
    lowest = key;
  }
  if (victim == nullptr) return false;
  const size_t before = m_accounts.size();
  Shed(*victim, ShedCause::kConnections);
  return m_accounts.size() < before;
}

void CallerMemory::ShedExcess() {
  while (IsOver()) {
    const bool is_for_large = m_used <= m_limit;
    CallerAccount* victim = FindVictim(is_for_large, nullptr, 0);
    if (victim == nullptr) return;
    Shed(*victim, ShedCause::kMemory);
  }
}

bool CallerMemory::Fits(const CallerAccount& account, size_t bytes) const {
  if (bytes <= account.m_held) return true;
  if (m_used - account.m_held + bytes > m_limit) return false;
  const size_t other_large = m_large_used - (IsLarge(account.m_held) ? account.m_held : 0);
  return !IsLarge(bytes) || other_large + bytes <= m_limit - GetReserved();
}

bool CallerMemory::Reserve(CallerAccount& account, size_t bytes) {
  while (!Fits(account, bytes)) {
    CallerAccount* victim = FindVictim(IsLarge(bytes), &account, bytes);
    if (victim == nullptr || victim == &account) {
      if (m_listener != nullptr) m_listener->OnRefused(ShedCause::kMemory);
      return false;
    }
    Shed(*victim, ShedCause::kMemory);
  }
  Set(account, bytes);
  return true;
}

CallerAccount* CallerMemory::FindVictim(bool is_for_large, const CallerAccount* requester, size_t bytes) const {
  const TimePoint now = m_clock.GetNow();
  CallerAccount* victim = nullptr;
  double highest = 0;
  for (CallerAccount* account : m_accounts) {
    const bool depends_on_caller =
        account->m_state == CallerState::kReading || account->m_state == CallerState::kWriting;
    if (account->m_is_shed || !depends_on_caller) continue;
    const size_t held = account == requester ? bytes : account->m_held;
    // A large connection never takes the place of a small one.
    if (is_for_large && !IsLarge(held)) continue;
    const Duration stall = std::max<Duration>(kMinStall, now - account->m_progress_at);
    const double score = static_cast<double>(held) * static_cast<double>(stall.count());
    if (score <= highest) continue;
    victim = account;
    highest = score;
  }
  return victim;
}

void CallerMemory::Shed(CallerAccount& account, ShedCause cause) {
  account.m_is_shed = true;
  if (m_listener != nullptr) {
    m_listener->OnShed(
        {cause, account.m_state, account.m_held, m_clock.GetNow() - account.m_progress_at, m_used, m_accounts.size()});
  }
  account.m_connection.Shed(cause);
}

void CallerMemory::Set(CallerAccount& account, size_t bytes) {
  if (bytes == account.m_held) return;
  m_used = m_used - account.m_held + bytes;
  if (IsLarge(account.m_held)) m_large_used -= account.m_held;
  if (IsLarge(bytes)) m_large_used += bytes;
  account.m_held = bytes;
  if (m_listener != nullptr) m_listener->OnUsed(m_used);
}

void CallerMemory::Add(CallerAccount& account) {
  account.m_progress_at = m_clock.GetNow();
  m_accounts.insert(&account);
  if (m_listener != nullptr) m_listener->OnConnections(m_accounts.size());
}

void CallerMemory::Remove(CallerAccount& account) {
  if (m_accounts.erase(&account) > 0 && m_listener != nullptr) m_listener->OnConnections(m_accounts.size());
}

CallerAccount::CallerAccount(std::shared_ptr<CallerMemory> memory, CallerConnection& connection)
    : m_memory(std::move(memory)), m_connection(connection) {
  m_memory->Add(*this);
}

CallerAccount::~CallerAccount() {
  Leave();
  Set(0);
}

void CallerAccount::SetState(CallerState state) {
  if (state == m_state) return;
  m_state = state;
  m_progress = 0;
  m_progress_at = m_memory->m_clock.GetNow();
}

void CallerAccount::RecordProgress(size_t bytes) {
  m_progress += bytes;
  if (m_progress < kProgressBytes) return;
  m_progress = 0;
  m_progress_at = m_memory->m_clock.GetNow();
}

}  // namespace plantain

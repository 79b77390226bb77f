#include "once_batcher.h"

#include <algorithm>
#include <charconv>

#include "failure_type.h"
#include "log_client.h"

namespace plantain {
namespace {

// Maximum appends in flight. More would only queue up at a slow log.
constexpr size_t kMaxInFlight = 4;
// Maximum record size; remaining claims and outcomes go into the next append.
constexpr size_t kMaxRecordBytes = 512 * 1024;
constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(1000);
constexpr int kMaxDoublings = 5;

}  // namespace

OnceBatcher::OnceBatcher(const Clock& clock, Random& random, std::string writer)
    : m_clock(clock), m_random(random), m_writer(std::move(writer)) {}

void OnceBatcher::AddClaim(proto::Claim claim) {
  const std::string id = claim.claim_id();
  m_gathered_claims.emplace(id, std::move(claim));
}

void OnceBatcher::AddOutcome(proto::Outcome outcome) { m_gathered_outcomes.push_back(std::move(outcome)); }

bool OnceBatcher::RemoveClaim(const ClaimId& claim) {
  if (m_gathered_claims.erase(claim.Get()) > 0) return true;
  for (auto& [id, sent] : m_sent) {
    // While a response is pending, the record may still reach the log.
    if (sent.is_possibly_in_log || !sent.repeat_at.has_value()) continue;
    auto& claims = *sent.batch.mutable_claims();
    const auto found = std::find_if(claims.begin(), claims.end(),
                                    [&claim](const proto::Claim& c) { return c.claim_id() == claim.Get(); });
    if (found == claims.end()) continue;
    claims.erase(found);
    return true;
  }
  return false;
}

std::vector<OnceAppend> OnceBatcher::TakeDue() {
  std::vector<OnceAppend> due;
  const TimePoint now = m_clock.GetNow();
  for (auto& [id, sent] : m_sent) {
    if (!sent.repeat_at.has_value() || *sent.repeat_at > now) continue;
    sent.repeat_at.reset();
    due.push_back({id, sent.batch.SerializeAsString()});
  }
  if (auto fresh = TakeGathered()) due.push_back(*std::move(fresh));
  return due;
}

std::optional<OnceAppend> OnceBatcher::TakeGathered() {
  if (m_gathered_claims.empty() && m_gathered_outcomes.empty()) return std::nullopt;
  if (m_sent.size() >= kMaxInFlight) return std::nullopt;
  const uint64_t id = m_next_id++;
  Sent& sent = m_sent[id];
  sent.first_sent = m_clock.GetNow();
  sent.batch.set_writer(m_writer + "/" + std::to_string(id));
  size_t bytes = 0;
  // Outcomes go first because callers at other agents wait for them.
  size_t taken = 0;
  while (taken < m_gathered_outcomes.size() && bytes < kMaxRecordBytes) {
    bytes += m_gathered_outcomes[taken].ByteSizeLong();
    *sent.batch.add_outcomes() = std::move(m_gathered_outcomes[taken++]);
  }
  m_gathered_outcomes.erase(m_gathered_outcomes.begin(), m_gathered_outcomes.begin() + static_cast<ptrdiff_t>(taken));
  while (!m_gathered_claims.empty() && bytes < kMaxRecordBytes) {
    const auto claim = m_gathered_claims.begin();
    bytes += claim->second.ByteSizeLong();
    *sent.batch.add_claims() = std::move(claim->second);
    m_gathered_claims.erase(claim);
  }
  return OnceAppend{id, sent.batch.SerializeAsString()};
}

std::vector<ClaimId> OnceBatcher::OnAppended(uint64_t id, const absl::Status& status) {
  const auto found = m_sent.find(id);
  if (found == m_sent.end()) return {};
  Sent& sent = found->second;
  if (status.ok()) {
    m_sent.erase(found);
    return {};
  }
  if (!IsCertainlyNotAppended(status)) sent.is_possibly_in_log = true;
  sent.repeat_at = m_clock.GetNow() + GetBackoff(sent.failures++);
  if (sent.is_possibly_in_log || GetFailureCode(status) == FailureCode::kLogRateLimited) return {};
  std::vector<ClaimId> given_up = GiveUpClaims(sent);
  if (sent.batch.outcomes().empty()) m_sent.erase(found);
  return given_up;
}

std::vector<ClaimId> OnceBatcher::GiveUpClaims(Sent& sent) {
  std::vector<ClaimId> claims;
  for (const proto::Claim& claim : sent.batch.claims()) claims.emplace_back(claim.claim_id());
  sent.batch.clear_claims();
  return claims;
}

void OnceBatcher::OnRead(const std::string& writer) {
  const std::string prefix = m_writer + "/";
  if (writer.compare(0, prefix.size(), prefix) != 0) return;
  uint64_t id = 0;
  std::from_chars(writer.data() + prefix.size(), writer.data() + writer.size(), id);
  m_sent.erase(id);
}

Duration OnceBatcher::GetOldestAge() const {
  if (m_sent.empty()) return Duration(0);
  // Ids increase with time, so the first entry is the oldest.
  return m_clock.GetNow() - m_sent.begin()->second.first_sent;
}

Duration OnceBatcher::GetBackoff(int failures) {
  const Duration full = std::min(kMaxBackoff, kMinBackoff * (1 << std::min(failures, kMaxDoublings)));
  const double share = 0.5 + 0.5 * m_random.GetUnit();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(full) * share);
}

}  // namespace plantain

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
  m_pending_claims.emplace(id, std::move(claim));
}

void OnceBatcher::AddOutcome(proto::Outcome outcome) { m_pending_outcomes.push_back(std::move(outcome)); }

bool OnceBatcher::RemoveClaim(const ClaimId& claim) {
  if (m_pending_claims.erase(claim.Get()) > 0) return true;
  for (auto& [id, sent] : m_sent) {
    // While a response is pending, the record may still reach the log.
    if (sent.is_possibly_in_log || !sent.retry_at.has_value()) continue;
    auto& claims = *sent.batch.mutable_claims();
    const auto found = std::find_if(claims.begin(), claims.end(),
                                    [&claim](const proto::Claim& c) { return c.claim_id() == claim.Get(); });
    if (found == claims.end()) continue;
    claims.erase(found);
    return true;
  }
  return false;
}

std::vector<OnceAppend> OnceBatcher::CollectDueAppends() {
  std::vector<OnceAppend> due;
  const TimePoint now = m_clock.GetNow();
  for (auto& [id, sent] : m_sent) {
    if (!sent.retry_at.has_value() || *sent.retry_at > now) continue;
    sent.retry_at.reset();
    due.push_back({id, sent.batch.SerializeAsString()});
  }
  if (auto next_append = MakeNextAppend()) due.push_back(*std::move(next_append));
  return due;
}

std::optional<OnceAppend> OnceBatcher::MakeNextAppend() {
  if (m_pending_claims.empty() && m_pending_outcomes.empty()) return std::nullopt;
  if (m_sent.size() >= kMaxInFlight) return std::nullopt;
  const uint64_t id = m_next_id++;
  SentAppend& sent = m_sent[id];
  sent.first_sent = m_clock.GetNow();
  sent.batch.set_writer(m_writer + "/" + std::to_string(id));
  size_t bytes = 0;
  // Outcomes go first because callers at other agents wait for them.
  size_t taken = 0;
  while (taken < m_pending_outcomes.size() && bytes < kMaxRecordBytes) {
    bytes += m_pending_outcomes[taken].ByteSizeLong();
    *sent.batch.add_outcomes() = std::move(m_pending_outcomes[taken++]);
  }
  m_pending_outcomes.erase(m_pending_outcomes.begin(), m_pending_outcomes.begin() + static_cast<ptrdiff_t>(taken));
  while (!m_pending_claims.empty() && bytes < kMaxRecordBytes) {
    const auto claim = m_pending_claims.begin();
    bytes += claim->second.ByteSizeLong();
    *sent.batch.add_claims() = std::move(claim->second);
    m_pending_claims.erase(claim);
  }
  return OnceAppend{id, sent.batch.SerializeAsString()};
}

std::vector<ClaimId> OnceBatcher::OnAppended(uint64_t id, const absl::Status& status) {
  const auto found = m_sent.find(id);
  if (found == m_sent.end()) return {};
  SentAppend& sent = found->second;
  if (status.ok()) {
    m_sent.erase(found);
    return {};
  }
  if (!IsCertainlyNotAppended(status)) sent.is_possibly_in_log = true;
  sent.retry_at = m_clock.GetNow() + GetBackoff(sent.failures++);
  if (sent.is_possibly_in_log || GetFailureCode(status) == FailureCode::kLogRateLimited) return {};
  std::vector<ClaimId> abandoned = AbandonClaims(sent);
  if (sent.batch.outcomes().empty()) m_sent.erase(found);
  return abandoned;
}

std::vector<ClaimId> OnceBatcher::AbandonClaims(SentAppend& sent) {
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

Duration OnceBatcher::GetOldestAppendAge() const {
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

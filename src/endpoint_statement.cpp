#include "endpoint_statement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "rendezvous.h"

namespace plantain {
namespace {

// Longer than the time after which entries take another one for dead, and the delay of the message that tells this.
constexpr Duration kTakeoverDelay = Milliseconds(3000);
constexpr Duration kGrantLifetime = Milliseconds(1000);
// Longest time for which grants accrue at once, for example after the process stood still.
constexpr Duration kMaxAccrualTime = Milliseconds(500);
// An endpoint that states less is sent a request this often, so that it can state another limit.
constexpr double kMinPerS = 0.1;
// Higher rates are no limit in practice.
constexpr double kMaxPerS = 10'000;
// Limits on what is sent to peers.
constexpr size_t kMaxReported = 16;
// Small enough that a receiver of every third report still gets all statements.
constexpr size_t kReportStep = 5;
// Time for which a run that leaves is remembered after the directory has ceased to list the endpoint, and the number of
// such runs of one endpoint.
constexpr Duration kLeavingRetention = std::chrono::minutes(10);
constexpr size_t kMaxLeavingRuns = 8;
// A pause that ends later by less than this is no news.
constexpr Duration kMinPauseNews = Milliseconds(100);
// Time for which the end of a limit is reported.
constexpr Duration kEndReportTime = std::chrono::seconds(10);

}  // namespace

EndpointStatements::EndpointStatements(const Clock& clock, VmId self)
    : m_clock(clock), m_self(std::move(self)), m_entries_changed_at(clock.GetNow()) {
  m_view.entries.push_back({m_self, {}, {}});
}

void EndpointStatements::SetEndpoints(std::map<EndpointId, ListedEndpoint> listed) {
  m_listed = std::move(listed);
  const TimePoint now = m_clock.GetNow();
  for (auto& [endpoint, stated] : m_stated) {
    if (m_listed.contains(endpoint)) {
      stated.unlisted_since.reset();
      continue;
    }
    stated.limit.reset();
    if (!stated.unlisted_since.has_value()) stated.unlisted_since = now;
  }
  std::erase_if(m_stated, [&](const auto& entry) {
    const Stated& stated = entry.second;
    if (!stated.unlisted_since.has_value() || stated.pause.GetEnd() > now) return false;
    return stated.leaving.empty() || now - *stated.unlisted_since >= kLeavingRetention;
  });
}

void EndpointStatements::SetEntries(EntryView view) {
  const auto get_ids = [](const EntryView& of) {
    std::set<VmId> ids = of.named;
    for (const EntryDemand& entry : of.entries) ids.insert(entry.entry);
    return ids;
  };
  if (get_ids(view) != get_ids(m_view)) m_entries_changed_at = m_clock.GetNow();
  m_view = std::move(view);
  for (auto& [endpoint, stated] : m_stated) {
    if (stated.limit.has_value()) UpdateOwner(endpoint, *stated.limit);
  }
}

VmId EndpointStatements::GetOwner(const EndpointId& endpoint) const {
  VmId best = m_self;
  uint64_t best_score = GetRendezvousScore(endpoint.Get(), m_self.Get());
  const auto consider = [&](const VmId& entry) {
    const uint64_t score = GetRendezvousScore(endpoint.Get(), entry.Get());
    if (score < best_score || (score == best_score && !(best < entry))) return;
    best = entry;
    best_score = score;
  };
  for (const EntryDemand& entry : m_view.entries) consider(entry.entry);
  for (const VmId& entry : m_view.named) consider(entry);
  return best;
}

void EndpointStatements::UpdateOwner(const EndpointId& endpoint, Limit& limit) {
  VmId owner = GetOwner(endpoint);
  if (owner == limit.owner) return;
  limit.owner = std::move(owner);
  limit.owner_since = m_clock.GetNow();
  limit.epoch = 0;
}

bool EndpointStatements::IsGranting(const Limit& limit) const {
  return limit.per_s.has_value() && limit.owner == m_self && m_view.is_heard_by_all &&
         m_clock.GetNow() - limit.owner_since >= kTakeoverDelay;
}

EndpointStatements::Limit* EndpointStatements::FindLimit(const EndpointId& endpoint) {
  const auto found = m_stated.find(endpoint);
  return found == m_stated.end() || !found->second.limit.has_value() ? nullptr : &*found->second.limit;
}

const EndpointStatements::Limit* EndpointStatements::FindLimit(const EndpointId& endpoint) const {
  const auto found = m_stated.find(endpoint);
  return found == m_stated.end() || !found->second.limit.has_value() ? nullptr : &*found->second.limit;
}

EndpointStatements::Limit& EndpointStatements::AddLimit(const EndpointId& endpoint) {
  std::optional<Limit>& limit = m_stated[endpoint].limit;
  if (!limit.has_value()) {
    limit = Limit();
    limit->owner = GetOwner(endpoint);
    limit->owner_since = m_entries_changed_at;
  }
  return *limit;
}

bool EndpointStatements::SetRate(const EndpointId& endpoint, std::optional<double> per_s, TimePoint stated_at,
                                 bool is_from_peer) {
  Limit& limit = AddLimit(endpoint);
  if (per_s.has_value() && *per_s > kMaxPerS) per_s.reset();
  if (per_s.has_value()) per_s = std::max(*per_s, kMinPerS);
  limit.stated_at = stated_at;
  if (std::exchange(limit.per_s, per_s) == per_s) return false;
  m_changes.push_back({endpoint, per_s, is_from_peer, IsGranting(limit)});
  return true;
}

bool EndpointStatements::OnResponse(const EndpointId& endpoint, std::optional<double> per_s) {
  if (!per_s.has_value() && FindLimit(endpoint) == nullptr) return false;
  if (!m_listed.contains(endpoint)) return false;
  return SetRate(endpoint, per_s, m_clock.GetNow(), false);
}

bool EndpointStatements::OnLeaving(const EndpointId& endpoint, Incarnation incarnation) {
  return SetLeaving(endpoint, incarnation, false);
}

bool EndpointStatements::SetLeaving(const EndpointId& endpoint, Incarnation incarnation, bool is_from_peer) {
  std::set<Incarnation>& leaving = m_stated[endpoint].leaving;
  if (!leaving.insert(incarnation).second) return false;
  if (leaving.size() > kMaxLeavingRuns) leaving.erase(leaving.begin());
  m_changes.push_back({endpoint, {}, is_from_peer, false, StatementKind::kLeaving});
  return true;
}

bool EndpointStatements::IsLeaving(const EndpointId& endpoint, Incarnation incarnation) const {
  const auto found = m_stated.find(endpoint);
  return found != m_stated.end() && found->second.leaving.contains(incarnation);
}

bool EndpointStatements::OnPause(const EndpointId& endpoint, Incarnation incarnation, Duration pause) {
  return SetPause(endpoint, incarnation, pause, false);
}

bool EndpointStatements::SetPause(const EndpointId& endpoint, Incarnation incarnation, Duration pause,
                                  bool is_from_peer) {
  if (pause <= Duration::zero()) return false;
  pause = std::min(pause, kMaxStatedPause);
  const TimePoint now = m_clock.GetNow();
  Pause& known = m_stated[endpoint].pause;
  if (incarnation < known.incarnation && known.GetEnd() > now) return false;
  if (incarnation != known.incarnation) known = {incarnation, {}, {}};
  const TimePoint end = std::max(known.GetEnd(), now);
  TimePoint& until = is_from_peer ? known.peer_until : known.own_until;
  until = std::max(until, now + pause);
  if (until - end < kMinPauseNews) return false;
  m_changes.push_back({endpoint, {}, is_from_peer, false, StatementKind::kPause, pause});
  return true;
}

Duration EndpointStatements::GetPauseLeft(const EndpointId& endpoint, Incarnation incarnation) const {
  const auto found = m_stated.find(endpoint);
  if (found == m_stated.end() || found->second.pause.incarnation != incarnation) return Duration::zero();
  return std::max<Duration>(Duration::zero(), found->second.pause.GetEnd() - m_clock.GetNow());
}

void EndpointStatements::GrantDue() {
  const TimePoint now = m_clock.GetNow();
  for (auto& [endpoint, stated] : m_stated) {
    if (!stated.limit.has_value()) continue;
    Limit& limit = *stated.limit;
    while (!limit.grants.empty() && limit.grants.front() <= now) limit.grants.pop_front();
    if (IsGranting(limit)) {
      Grant(endpoint, limit);
    } else {
      limit.epoch = 0;
    }
  }
}

void EndpointStatements::BeginGrants(const EndpointId& endpoint, Limit& limit) {
  const TimePoint now = m_clock.GetNow();
  limit.epoch = static_cast<uint64_t>(now.time_since_epoch().count());
  limit.due = 0;
  limit.due_at = now;
  limit.granted.clear();
  limit.credit.clear();
  m_changes.push_back({endpoint, limit.per_s, false, true});
}

void EndpointStatements::Grant(const EndpointId& endpoint, Limit& limit) {
  const TimePoint now = m_clock.GetNow();
  if (limit.epoch == 0) BeginGrants(endpoint, limit);
  const Duration passed = std::min<Duration>(now - limit.due_at, kMaxAccrualTime);
  limit.due_at = now;
  limit.due += *limit.per_s * ToSeconds(passed);
  while (limit.due >= 1) {
    limit.due -= 1;
    ++limit.granted[PickReceiver(endpoint, limit)];
  }
  const auto own = limit.granted.find(m_self);
  if (own != limit.granted.end()) Receive(limit, {m_self, limit.epoch, own->second});
}

// Weighted round robin: each entry's credit grows with its share of the demand, and the one with the most is next.
VmId EndpointStatements::PickReceiver(const EndpointId& endpoint, Limit& limit) const {
  const auto listed = m_listed.find(endpoint);
  const auto get_demand = [&](const EntryDemand& entry) {
    if (listed == m_listed.end()) return 0.0;
    const auto found = entry.requests_per_s.find(listed->second.pool);
    return found == entry.requests_per_s.end() ? 0.0 : std::max(0.0, found->second);
  };
  double sum = 0;
  for (const EntryDemand& entry : m_view.entries) sum += get_demand(entry);
  const EntryDemand* best = nullptr;
  for (const EntryDemand& entry : m_view.entries) {
    limit.credit[entry.entry] += sum > 0 ? get_demand(entry) / sum : 1.0 / static_cast<double>(m_view.entries.size());
    if (best == nullptr || limit.credit[entry.entry] > limit.credit[best->entry]) best = &entry;
  }
  const VmId receiver = best == nullptr ? m_self : best->entry;
  limit.credit[receiver] -= 1;
  return receiver;
}

// Adds the grants since the last message of the same epoch. Those of an epoch that began before its first message
// arrived are left unused.
void EndpointStatements::Receive(Limit& limit, const Received& received) {
  Received& last = limit.received[received.from];
  const bool continues = last.epoch == received.epoch;
  const bool is_own = received.from == m_self;
  if (continues && received.total <= last.total) return;
  uint64_t count = 0;
  if (continues) {
    count = received.total - last.total;
  } else if (is_own) {
    count = received.total;
  }
  last = received;
  // Grants of a message that was held up are more than may be used at once.
  const uint64_t most = 1 + static_cast<uint64_t>(limit.per_s.value_or(0) * ToSeconds(kGrantLifetime));
  const TimePoint expires_at = m_clock.GetNow() + kGrantLifetime;
  for (uint64_t i = 0; i < std::min(count, most); ++i) limit.grants.push_back(expires_at);
  while (limit.grants.size() > most) limit.grants.pop_front();
}

bool EndpointStatements::IsAvailable(const EndpointId& endpoint) const {
  const Limit* limit = FindLimit(endpoint);
  if (limit == nullptr || !limit->per_s.has_value()) return true;
  return !limit->grants.empty() && limit->grants.back() > m_clock.GetNow();
}

void EndpointStatements::OnSent(const EndpointId& endpoint) {
  Limit* limit = FindLimit(endpoint);
  if (limit != nullptr && !limit->grants.empty()) limit->grants.pop_front();
}

std::vector<EndpointStatement> EndpointStatements::MakeStatements() const {
  std::vector<EndpointStatement> statements;
  const TimePoint now = m_clock.GetNow();
  for (const auto& [endpoint, stated] : m_stated) {
    const auto listed = m_listed.find(endpoint);
    if (listed == m_listed.end()) continue;
    EndpointStatement statement;
    statement.endpoint = endpoint;
    statement.incarnation = listed->second.incarnation;
    statement.is_leaving = stated.leaving.contains(statement.incarnation);
    if (stated.limit.has_value()) {
      statement.per_s = stated.limit->per_s;
      statement.rate_age = now - stated.limit->stated_at;
    }
    const bool has_rate_news = statement.rate_age.has_value() && *statement.rate_age < kEndReportTime;
    if (stated.pause.incarnation == statement.incarnation) {
      statement.pause_left = std::max<Duration>(Duration::zero(), stated.pause.own_until - now);
    }
    const bool has_pause = statement.pause_left > Duration::zero();
    if (statement.per_s.has_value() || has_rate_news || statement.is_leaving || has_pause) {
      statements.push_back(std::move(statement));
    }
  }
  return statements;
}

StatementReport EndpointStatements::GetReport() {
  StatementReport report;
  report.statements = MakeStatements();
  if (report.statements.size() > kMaxReported) {
    m_report_begin = (m_report_begin + kReportStep) % report.statements.size();
    std::rotate(report.statements.begin(), report.statements.begin() + static_cast<ptrdiff_t>(m_report_begin),
                report.statements.end());
    report.statements.resize(kMaxReported);
  }
  for (const auto& [endpoint, stated] : m_stated) {
    if (!stated.limit.has_value() || report.grants.size() >= kMaxReported) continue;
    const Limit& limit = *stated.limit;
    if (!IsGranting(limit) || limit.epoch == 0) continue;
    RateGrantReport grants{endpoint, limit.epoch, {}};
    // Totals of all entries are sent, so that each one notices the beginning of an epoch.
    for (const EntryDemand& entry : m_view.entries) {
      const auto found = limit.granted.find(entry.entry);
      if (entry.entry != m_self) {
        grants.grants.push_back({entry.entry, found == limit.granted.end() ? 0 : found->second});
      }
    }
    report.grants.push_back(std::move(grants));
  }
  return report;
}

void EndpointStatements::ApplyStatement(const EndpointStatement& statement) {
  if (!m_listed.contains(statement.endpoint)) return;
  if (statement.is_leaving) SetLeaving(statement.endpoint, statement.incarnation, true);
  SetPause(statement.endpoint, statement.incarnation, statement.pause_left, true);
  const Limit* known = FindLimit(statement.endpoint);
  if (!statement.rate_age.has_value() || (known == nullptr && !statement.per_s.has_value())) return;
  const TimePoint stated_at = m_clock.GetNow() - *statement.rate_age;
  if (known == nullptr || stated_at > known->stated_at) SetRate(statement.endpoint, statement.per_s, stated_at, true);
}

void EndpointStatements::ApplyReport(const VmId& from, const StatementReport& report) {
  for (const EndpointStatement& statement : report.statements) ApplyStatement(statement);
  for (const RateGrantReport& grants : report.grants) {
    Limit* limit = FindLimit(grants.endpoint);
    if (limit == nullptr) continue;
    for (const RateGrant& grant : grants.grants) {
      if (grant.entry == m_self) Receive(*limit, {from, grants.epoch, grant.total});
    }
  }
}

std::vector<EndpointStatements::Change> EndpointStatements::TakeChanges() { return std::exchange(m_changes, {}); }

std::optional<double> EndpointStatements::GetLimit(const EndpointId& endpoint) const {
  const Limit* limit = FindLimit(endpoint);
  return limit == nullptr ? std::nullopt : limit->per_s;
}

size_t EndpointStatements::GetLimitCount() const {
  return static_cast<size_t>(std::count_if(m_stated.begin(), m_stated.end(), [](const auto& entry) {
    return entry.second.limit.has_value() && entry.second.limit->per_s.has_value();
  }));
}

}  // namespace plantain

#include "once_core.h"

#include <algorithm>

namespace plantain {
namespace {

constexpr Duration kRunRetryInterval = std::chrono::milliseconds(100);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(250);
constexpr uint64_t kRetryAfterJitterMs = 500;
constexpr uint32_t kFirstServerError = 500;

std::string MakeWriter(const OnceOptions& options) {
  return options.vm.Get() + "/" + std::to_string(options.incarnation.Get());
}

}  // namespace

OnceCore::OnceCore(const Clock& clock, Random& random, OnceHost& host, OnceOptions options)
    : m_clock(clock),
      m_random(random),
      m_host(host),
      m_options(std::move(options)),
      m_writer(MakeWriter(m_options)),
      m_claim_table(m_options.max_outcome_bytes),
      m_batcher(clock, random, m_writer),
      m_last_read(clock.GetNow()) {}

bool OnceCore::IsLogUsable() const {
  if (!m_is_caught_up || !m_is_log_reachable) return false;
  const bool is_read_overdue = m_clock.GetNow() - m_last_read > m_options.max_read_age;
  return !is_read_overdue && m_batcher.GetOldestAppendAge() <= m_options.max_append_age;
}

bool OnceCore::IsIdle() const {
  const auto is_open = [](const auto& local_claim) {
    return !local_claim.second.callers.empty() || local_claim.second.state != ClaimState::kConfirmed;
  };
  return m_batcher.IsEmpty() && m_remote_waiters.empty() &&
         std::none_of(m_local_claims.begin(), m_local_claims.end(), is_open);
}

void OnceCore::Submit(OnceCall call, OnAnswer on_answer) {
  const ClaimTable::Entry* entry = m_claim_table.Find(call.key);
  const auto local_claim = m_local_claims_by_key.find(call.key);
  const Digest* known = nullptr;
  if (entry != nullptr) {
    known = &entry->fingerprint;
  } else if (local_claim != m_local_claims_by_key.end()) {
    known = &m_local_claims.at(local_claim->second).call.fingerprint;
  }
  if (known != nullptr && *known != call.fingerprint) {
    on_answer(MakeRefusal(proto::REFUSAL_REASON_BAD_REQUEST, true));
  } else if (entry != nullptr && entry->outcome.has_value()) {
    AnswerFromTable(*entry, call, std::move(on_answer));
  } else if (local_claim != m_local_claims_by_key.end()) {
    JoinClaim(m_local_claims.at(local_claim->second), call, std::move(on_answer));
  } else if (entry != nullptr) {
    AnswerFromTable(*entry, call, std::move(on_answer));
  } else if (!IsLogUsable()) {
    ++m_counters.refused_log;
    on_answer(MakeRefusal(proto::REFUSAL_REASON_LOG_UNAVAILABLE, true));
  } else if (m_local_claims.size() >= m_options.max_pending) {
    on_answer(MakeRefusal(proto::REFUSAL_REASON_OVERLOADED, true));
  } else if (m_clock.GetNow() >= call.deadline) {
    on_answer(MakeRefusal(proto::REFUSAL_REASON_DEADLINE, true));
  } else {
    MakeClaim(std::move(call), std::move(on_answer));
  }
}

void OnceCore::JoinClaim(LocalClaim& local_claim, const OnceCall& call, OnAnswer on_answer) {
  local_claim.callers.push_back(MakeWaitingCaller(call, std::move(on_answer)));
}

void OnceCore::AnswerFromTable(const ClaimTable::Entry& entry, const OnceCall& call, OnAnswer on_answer) {
  if (entry.outcome.has_value()) {
    ++m_counters.replayed;
    OnceAnswer answer;
    answer.outcome = entry.outcome;
    on_answer(answer);
    return;
  }
  // Only another VM may still be running the call. An earlier incarnation of this VM's process has exited, and a call
  // of this incarnation that is no longer in progress ended without a known outcome.
  const bool is_old = m_clock.GetNow() - entry.read_at > m_options.max_claim_age;
  if (is_old || IsOwnVm(entry.holder) || !IsLogUsable()) {
    on_answer(MakeUnknownAnswer());
    return;
  }
  m_remote_waiters[call.key].push_back(MakeWaitingCaller(call, std::move(on_answer)));
}

OnceCore::WaitingCaller OnceCore::MakeWaitingCaller(const OnceCall& call, OnAnswer on_answer) const {
  return {call.deadline, std::min(call.deadline, m_clock.GetNow() + m_options.max_caller_wait), std::move(on_answer)};
}

void OnceCore::MakeClaim(OnceCall call, OnAnswer on_answer) {
  ++m_counters.claims;
  const ClaimId id = MakeClaimId();
  proto::Claim claim;
  claim.set_key(call.key.Get());
  claim.set_claim_id(id.Get());
  claim.set_fingerprint(call.fingerprint.Get());
  m_batcher.AddClaim(std::move(claim));
  LocalClaim& local_claim = m_local_claims[id];
  local_claim.created = m_clock.GetNow();
  local_claim.run_at = local_claim.created;
  local_claim.callers.push_back(MakeWaitingCaller(call, std::move(on_answer)));
  m_local_claims_by_key[call.key] = id;
  local_claim.call = std::move(call);
}

void OnceCore::Tick() {
  AnswerTimedOutCallers();
  RunConfirmed();
  for (const OnceAppend& append : m_batcher.CollectDueAppends()) {
    ++m_counters.appends;
    m_host.Append(append.id, append.record);
  }
}

void OnceCore::OnAppended(uint64_t id, const absl::Status& status) {
  const std::vector<ClaimId> abandoned = m_batcher.OnAppended(id, status);
  for (const ClaimId& claim : abandoned) {
    ++m_counters.refused_log;
    FinishClaim(claim, MakeRefusal(proto::REFUSAL_REASON_LOG_UNAVAILABLE, true));
  }
}

void OnceCore::OnReadFailed() { m_is_log_reachable = false; }

void OnceCore::OnRead(LogOffset from, const LogBatch& batch) {
  m_is_log_reachable = true;
  m_last_read = m_clock.GetNow();
  if (from != m_read_from) return;
  if (batch.first_offset > m_read_from) HandleLogGap(batch.first_offset);
  for (const LogRecord& record : batch.records) ApplyRecord(record);
  m_claim_table.ExpireBefore(batch.first_offset);
  // A read returns a limited number of records, so only an empty batch shows that the end of the log was reached.
  if (batch.records.empty() && m_read_from >= batch.next_offset) m_is_caught_up = true;
  RunConfirmed();
}

// Records were missed, so for pending claims it is unknown whether they are the first of their key.
void OnceCore::HandleLogGap(LogOffset first_kept) {
  m_claim_table.Reset();
  m_read_from = first_kept;
  m_is_caught_up = false;
  std::vector<ClaimId> pending;
  for (const auto& [id, local_claim] : m_local_claims) {
    if (local_claim.state == ClaimState::kPending) pending.push_back(id);
  }
  for (const ClaimId& id : pending) FinishClaim(id, MakeUnknownAnswer());
}

void OnceCore::ApplyRecord(const LogRecord& record) {
  if (record.offset < m_read_from) return;
  m_read_from = record.offset.Next();
  proto::OnceBatch batch;
  // A record that cannot be parsed as OnceBatch contains no claims.
  if (!batch.ParseFromString(record.data)) return;
  m_batcher.OnRead(batch.writer());
  for (const proto::Claim& claim : batch.claims()) ApplyClaim(record.offset, claim);
  for (const proto::Outcome& outcome : batch.outcomes()) ApplyOutcome(outcome);
}

void OnceCore::ApplyClaim(LogOffset offset, const proto::Claim& claim) {
  m_claim_table.ApplyClaim(offset, claim, m_clock.GetNow());
  OnLocalClaimRead(OnceKey(claim.key()), ClaimId(claim.claim_id()));
}

void OnceCore::OnLocalClaimRead(const OnceKey& key, const ClaimId& claim) {
  const auto found = m_local_claims.find(claim);
  if (found == m_local_claims.end() || found->second.state != ClaimState::kPending) return;
  const ClaimTable::Entry* entry = m_claim_table.Find(key);
  if (entry->holder == claim) {
    found->second.state = ClaimState::kConfirmed;
    return;
  }
  // Another claim came first; its outcome is the answer for these callers.
  LocalClaim local_claim = std::move(found->second);
  m_local_claims.erase(found);
  m_local_claims_by_key.erase(key);
  for (WaitingCaller& caller : local_claim.callers) {
    OnceCall call = local_claim.call;
    call.deadline = caller.deadline;
    if (entry->fingerprint != call.fingerprint) {
      caller.on_answer(MakeRefusal(proto::REFUSAL_REASON_BAD_REQUEST, true));
    } else {
      AnswerFromTable(*entry, call, std::move(caller.on_answer));
    }
  }
}

void OnceCore::ApplyOutcome(const proto::Outcome& outcome) {
  const OnceKey key(outcome.key());
  m_claim_table.ApplyOutcome(outcome);
  const ClaimTable::Entry* entry = m_claim_table.Find(key);
  const auto waiting = m_remote_waiters.find(key);
  if (entry == nullptr || !entry->outcome.has_value() || waiting == m_remote_waiters.end()) return;
  const std::vector<WaitingCaller> callers = std::move(waiting->second);
  m_remote_waiters.erase(waiting);
  OnceAnswer answer;
  answer.outcome = entry->outcome;
  m_counters.replayed += callers.size();
  for (const WaitingCaller& caller : callers) caller.on_answer(answer);
}

void OnceCore::RunConfirmed() {
  const TimePoint now = m_clock.GetNow();
  std::vector<ClaimId> expired;
  std::vector<ClaimId> due;
  for (auto& [id, local_claim] : m_local_claims) {
    if (local_claim.state != ClaimState::kConfirmed) continue;
    if (now - local_claim.created > m_options.max_claim_age) {
      expired.push_back(id);
    } else if (now >= local_claim.run_at) {
      due.push_back(id);
    }
  }
  // Expired claims were never sent to the service and never will be, so "not run" is correct.
  for (const ClaimId& id : expired) FinishClaim(id, MakeRefusal(proto::REFUSAL_REASON_DEADLINE, true));
  for (const ClaimId& id : due) {
    const auto found = m_local_claims.find(id);
    if (found == m_local_claims.end() || found->second.state != ClaimState::kConfirmed) continue;
    found->second.state = ClaimState::kRunning;
    ++m_counters.runs;
    const OnceCall call = found->second.call;
    m_host.Run(id, call);
  }
}

void OnceCore::OnRunDone(const ClaimId& claim, const RunResult& result) {
  const auto found = m_local_claims.find(claim);
  if (found == m_local_claims.end() || found->second.state != ClaimState::kRunning) return;
  if (!result.is_sent) {
    found->second.state = ClaimState::kConfirmed;
    found->second.run_at = m_clock.GetNow() + kRunRetryInterval;
    return;
  }
  if (!result.outcome.has_value()) {
    OnceAnswer answer = MakeUnknownAnswer();
    answer.is_service_failure = true;
    FinishClaim(claim, answer);
    return;
  }
  ++m_counters.outcomes;
  proto::Outcome outcome;
  outcome.set_key(found->second.call.key.Get());
  outcome.set_claim_id(claim.Get());
  outcome.set_status(result.outcome->status);
  outcome.set_body(result.outcome->body);
  // Applied locally before it is read back from the log, so that a repeated call is answered at once.
  m_claim_table.ApplyOutcome(outcome);
  m_batcher.AddOutcome(std::move(outcome));
  OnceAnswer answer;
  answer.outcome = result.outcome;
  answer.call_time = result.call_time;
  answer.is_service_failure = result.outcome->status >= kFirstServerError;
  FinishClaim(claim, answer);
}

void OnceCore::FinishClaim(const ClaimId& claim, const OnceAnswer& answer) {
  const auto found = m_local_claims.find(claim);
  if (found == m_local_claims.end()) return;
  const LocalClaim local_claim = std::move(found->second);
  m_local_claims.erase(found);
  m_local_claims_by_key.erase(local_claim.call.key);
  for (const WaitingCaller& caller : local_claim.callers) caller.on_answer(answer);
}

void OnceCore::AnswerTimedOutCallers() {
  std::vector<ClaimId> ids;
  ids.reserve(m_local_claims.size());
  for (const auto& [id, local_claim] : m_local_claims) ids.push_back(id);
  for (const ClaimId& id : ids) {
    const auto found = m_local_claims.find(id);
    if (found != m_local_claims.end()) AnswerTimedOutLocal(id, found->second);
  }
  AnswerTimedOutRemote();
}

void OnceCore::AnswerTimedOutLocal(const ClaimId& id, LocalClaim& local_claim) {
  const TimePoint now = m_clock.GetNow();
  const bool is_pending = local_claim.state == ClaimState::kPending;
  const auto is_timed_out = [&](const WaitingCaller& c) { return now >= (is_pending ? c.wait_deadline : c.deadline); };
  if (is_pending && std::all_of(local_claim.callers.begin(), local_claim.callers.end(), is_timed_out) &&
      m_batcher.RemoveClaim(id)) {
    FinishClaim(id, MakeRefusal(proto::REFUSAL_REASON_LOG_UNAVAILABLE, true));
    return;
  }
  std::vector<WaitingCaller> timed_out;
  for (auto it = local_claim.callers.begin(); it != local_claim.callers.end();) {
    if (!is_timed_out(*it)) {
      ++it;
      continue;
    }
    timed_out.push_back(std::move(*it));
    it = local_claim.callers.erase(it);
  }
  for (const WaitingCaller& caller : timed_out) caller.on_answer(MakeUnknownAnswer());
}

void OnceCore::AnswerTimedOutRemote() {
  const TimePoint now = m_clock.GetNow();
  std::vector<WaitingCaller> timed_out;
  for (auto it = m_remote_waiters.begin(); it != m_remote_waiters.end();) {
    auto& callers = it->second;
    const auto first_timed_out = std::partition(
        callers.begin(), callers.end(), [now](const WaitingCaller& caller) { return now < caller.wait_deadline; });
    std::move(first_timed_out, callers.end(), std::back_inserter(timed_out));
    callers.erase(first_timed_out, callers.end());
    it = callers.empty() ? m_remote_waiters.erase(it) : std::next(it);
  }
  for (const WaitingCaller& caller : timed_out) caller.on_answer(MakeUnknownAnswer());
}

OnceAnswer OnceCore::MakeRefusal(proto::RefusalReason reason, bool not_run) {
  OnceAnswer answer;
  answer.refusal = Refusal{reason, not_run, GetRetryAfter()};
  return answer;
}

OnceAnswer OnceCore::MakeUnknownAnswer() {
  ++m_counters.unknown;
  return MakeRefusal(proto::REFUSAL_REASON_UNKNOWN_OUTCOME, false);
}

Duration OnceCore::GetRetryAfter() {
  return kMinRetryAfter + std::chrono::milliseconds(m_random.GetBelow(kRetryAfterJitterMs));
}

ClaimId OnceCore::MakeClaimId() { return ClaimId(m_writer + "/" + std::to_string(m_next_claim++)); }

bool OnceCore::IsOwnVm(const ClaimId& claim) const {
  const std::string prefix = m_options.vm.Get() + "/";
  return claim.Get().compare(0, prefix.size(), prefix) == 0;
}

}  // namespace plantain

#include "once_core.h"

#include <algorithm>

namespace plantain {
namespace {

constexpr Duration kRunRetry = std::chrono::milliseconds(100);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(250);
constexpr uint64_t kRetryAfterSpreadMs = 500;
constexpr uint32_t kFirstServerError = 500;

std::string MakeWriter(const OnceOptions& options) {
  return options.vm.Get() + "/" + std::to_string(options.incarnation.Get());
}

}  // namespace

OnceCore::OnceCore(const Clock& clock, Random& random, OncePort& port, OnceOptions options)
    : m_clock(clock),
      m_random(random),
      m_port(port),
      m_options(std::move(options)),
      m_writer(MakeWriter(m_options)),
      m_fold(m_options.max_outcome_bytes),
      m_batcher(clock, random, m_writer),
      m_last_read(clock.GetNow()) {}

bool OnceCore::IsLogUsable() const {
  if (!m_is_caught_up || !m_is_log_reachable) return false;
  const bool is_silent = m_clock.GetNow() - m_last_read > m_options.log_silence;
  return !is_silent && m_batcher.GetOldestAge() <= m_options.log_slow;
}

bool OnceCore::IsIdle() const {
  const auto is_open = [](const auto& own) {
    return !own.second.callers.empty() || own.second.state != ClaimState::kHeld;
  };
  return m_batcher.IsEmpty() && m_foreign.empty() && std::none_of(m_own.begin(), m_own.end(), is_open);
}

void OnceCore::Submit(OnceCall call, OnAnswer on_answer) {
  const OnceFold::Entry* entry = m_fold.Find(call.key);
  const auto own = m_own_by_key.find(call.key);
  const Digest* known = nullptr;
  if (entry != nullptr) {
    known = &entry->fingerprint;
  } else if (own != m_own_by_key.end()) {
    known = &m_own.at(own->second).call.fingerprint;
  }
  if (known != nullptr && *known != call.fingerprint) {
    on_answer(MakeRefusal(proto::REFUSAL_REASON_BAD_REQUEST, true));
  } else if (entry != nullptr && entry->outcome.has_value()) {
    AnswerFromFold(*entry, call, std::move(on_answer));
  } else if (own != m_own_by_key.end()) {
    Join(m_own.at(own->second), call, std::move(on_answer));
  } else if (entry != nullptr) {
    AnswerFromFold(*entry, call, std::move(on_answer));
  } else if (!IsLogUsable()) {
    ++m_counters.refused_log;
    on_answer(MakeRefusal(proto::REFUSAL_REASON_LOG_UNAVAILABLE, true));
  } else if (m_own.size() >= m_options.max_pending) {
    on_answer(MakeRefusal(proto::REFUSAL_REASON_OVERLOADED, true));
  } else if (m_clock.GetNow() >= call.deadline) {
    on_answer(MakeRefusal(proto::REFUSAL_REASON_DEADLINE, true));
  } else {
    MakeClaim(std::move(call), std::move(on_answer));
  }
}

void OnceCore::Join(OwnClaim& own, const OnceCall& call, OnAnswer on_answer) {
  own.callers.push_back(MakeCaller(call, std::move(on_answer)));
}

void OnceCore::AnswerFromFold(const OnceFold::Entry& entry, const OnceCall& call, OnAnswer on_answer) {
  if (entry.outcome.has_value()) {
    ++m_counters.replayed;
    OnceAnswer answer;
    answer.outcome = entry.outcome;
    on_answer(answer);
    return;
  }
  // Only another VM may still be running the call. An earlier incarnation of this VM's process has exited, and a call
  // of this incarnation that is no longer in progress ended without a known outcome.
  const bool is_old = m_clock.GetNow() - entry.read_at > m_options.claim_limit;
  if (is_old || IsOwnVm(entry.holder) || !IsLogUsable()) {
    on_answer(MakeUnknown());
    return;
  }
  m_foreign[call.key].push_back(MakeCaller(call, std::move(on_answer)));
}

OnceCore::WaitingCaller OnceCore::MakeCaller(const OnceCall& call, OnAnswer on_answer) const {
  return {call.deadline, std::min(call.deadline, m_clock.GetNow() + m_options.wait_limit), std::move(on_answer)};
}

void OnceCore::MakeClaim(OnceCall call, OnAnswer on_answer) {
  ++m_counters.claims;
  const ClaimId id = MakeClaimId();
  proto::Claim claim;
  claim.set_key(call.key.Get());
  claim.set_claim_id(id.Get());
  claim.set_fingerprint(call.fingerprint.Get());
  m_batcher.AddClaim(std::move(claim));
  OwnClaim& own = m_own[id];
  own.created = m_clock.GetNow();
  own.run_at = own.created;
  own.callers.push_back(MakeCaller(call, std::move(on_answer)));
  m_own_by_key[call.key] = id;
  own.call = std::move(call);
}

void OnceCore::Tick() {
  DropLateCallers();
  RunHeld();
  for (const OnceAppend& append : m_batcher.TakeDue()) {
    ++m_counters.appends;
    m_port.Append(append.id, append.record);
  }
}

void OnceCore::OnAppended(uint64_t id, const absl::Status& status) {
  const std::vector<ClaimId> given_up = m_batcher.OnAppended(id, status);
  for (const ClaimId& claim : given_up) {
    ++m_counters.refused_log;
    DropClaim(claim, MakeRefusal(proto::REFUSAL_REASON_LOG_UNAVAILABLE, true));
  }
}

void OnceCore::OnReadFailed() { m_is_log_reachable = false; }

void OnceCore::OnRead(LogOffset from, const LogBatch& batch) {
  m_is_log_reachable = true;
  m_last_read = m_clock.GetNow();
  if (from != m_read_from) return;
  if (batch.first_offset > m_read_from) HandleGap(batch.first_offset);
  for (const LogRecord& record : batch.records) ApplyRecord(record);
  m_fold.ExpireBefore(batch.first_offset);
  // A read returns a limited number of records, so only an empty batch shows that the end of the log was reached.
  if (batch.records.empty() && m_read_from >= batch.next_offset) m_is_caught_up = true;
  RunHeld();
}

// Records were missed, so for pending claims it is unknown whether they are the first of their key.
void OnceCore::HandleGap(LogOffset first_kept) {
  m_fold.Reset();
  m_read_from = first_kept;
  m_is_caught_up = false;
  std::vector<ClaimId> claimed;
  for (const auto& [id, own] : m_own) {
    if (own.state == ClaimState::kClaimed) claimed.push_back(id);
  }
  for (const ClaimId& id : claimed) DropClaim(id, MakeUnknown());
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
  m_fold.ApplyClaim(offset, claim, m_clock.GetNow());
  OnOwnClaimRead(OnceKey(claim.key()), ClaimId(claim.claim_id()));
}

void OnceCore::OnOwnClaimRead(const OnceKey& key, const ClaimId& claim) {
  const auto found = m_own.find(claim);
  if (found == m_own.end() || found->second.state != ClaimState::kClaimed) return;
  const OnceFold::Entry* entry = m_fold.Find(key);
  if (entry->holder == claim) {
    found->second.state = ClaimState::kHeld;
    return;
  }
  // Another claim came first; its outcome is the answer for these callers.
  OwnClaim own = std::move(found->second);
  m_own.erase(found);
  m_own_by_key.erase(key);
  for (WaitingCaller& caller : own.callers) {
    OnceCall call = own.call;
    call.deadline = caller.deadline;
    if (entry->fingerprint != call.fingerprint) {
      caller.on_answer(MakeRefusal(proto::REFUSAL_REASON_BAD_REQUEST, true));
    } else {
      AnswerFromFold(*entry, call, std::move(caller.on_answer));
    }
  }
}

void OnceCore::ApplyOutcome(const proto::Outcome& outcome) {
  const OnceKey key(outcome.key());
  m_fold.ApplyOutcome(outcome);
  const OnceFold::Entry* entry = m_fold.Find(key);
  const auto waiting = m_foreign.find(key);
  if (entry == nullptr || !entry->outcome.has_value() || waiting == m_foreign.end()) return;
  const std::vector<WaitingCaller> callers = std::move(waiting->second);
  m_foreign.erase(waiting);
  OnceAnswer answer;
  answer.outcome = entry->outcome;
  m_counters.replayed += callers.size();
  for (const WaitingCaller& caller : callers) caller.on_answer(answer);
}

void OnceCore::RunHeld() {
  const TimePoint now = m_clock.GetNow();
  std::vector<ClaimId> expired;
  std::vector<ClaimId> due;
  for (auto& [id, own] : m_own) {
    if (own.state != ClaimState::kHeld) continue;
    if (now - own.created > m_options.claim_limit) {
      expired.push_back(id);
    } else if (now >= own.run_at) {
      due.push_back(id);
    }
  }
  // Expired claims were never sent to the service and never will be, so "not run" is correct.
  for (const ClaimId& id : expired) DropClaim(id, MakeRefusal(proto::REFUSAL_REASON_DEADLINE, true));
  for (const ClaimId& id : due) {
    const auto found = m_own.find(id);
    if (found == m_own.end() || found->second.state != ClaimState::kHeld) continue;
    found->second.state = ClaimState::kRunning;
    ++m_counters.runs;
    const OnceCall call = found->second.call;
    m_port.Run(id, call);
  }
}

void OnceCore::OnRunDone(const ClaimId& claim, const RunResult& result) {
  const auto found = m_own.find(claim);
  if (found == m_own.end() || found->second.state != ClaimState::kRunning) return;
  if (!result.is_sent) {
    found->second.state = ClaimState::kHeld;
    found->second.run_at = m_clock.GetNow() + kRunRetry;
    return;
  }
  if (!result.outcome.has_value()) {
    OnceAnswer answer = MakeUnknown();
    answer.is_service_failure = true;
    DropClaim(claim, answer);
    return;
  }
  ++m_counters.outcomes;
  proto::Outcome outcome;
  outcome.set_key(found->second.call.key.Get());
  outcome.set_claim_id(claim.Get());
  outcome.set_status(result.outcome->status);
  outcome.set_body(result.outcome->body);
  // Applied locally before it is read back from the log, so that a repeated call is answered at once.
  m_fold.ApplyOutcome(outcome);
  m_batcher.AddOutcome(std::move(outcome));
  OnceAnswer answer;
  answer.outcome = result.outcome;
  answer.call_time = result.call_time;
  answer.is_service_failure = result.outcome->status >= kFirstServerError;
  DropClaim(claim, answer);
}

void OnceCore::DropClaim(const ClaimId& claim, const OnceAnswer& answer) {
  const auto found = m_own.find(claim);
  if (found == m_own.end()) return;
  const OwnClaim own = std::move(found->second);
  m_own.erase(found);
  m_own_by_key.erase(own.call.key);
  for (const WaitingCaller& caller : own.callers) caller.on_answer(answer);
}

void OnceCore::DropLateCallers() {
  std::vector<ClaimId> ids;
  ids.reserve(m_own.size());
  for (const auto& [id, own] : m_own) ids.push_back(id);
  for (const ClaimId& id : ids) {
    const auto found = m_own.find(id);
    if (found != m_own.end()) DropLateOwn(id, found->second);
  }
  DropLateForeign();
}

void OnceCore::DropLateOwn(const ClaimId& id, OwnClaim& own) {
  const TimePoint now = m_clock.GetNow();
  const bool is_claimed = own.state == ClaimState::kClaimed;
  const auto is_late = [&](const WaitingCaller& c) { return now >= (is_claimed ? c.patience : c.deadline); };
  if (is_claimed && std::all_of(own.callers.begin(), own.callers.end(), is_late) && m_batcher.RemoveClaim(id)) {
    DropClaim(id, MakeRefusal(proto::REFUSAL_REASON_LOG_UNAVAILABLE, true));
    return;
  }
  std::vector<WaitingCaller> late;
  for (auto it = own.callers.begin(); it != own.callers.end();) {
    if (!is_late(*it)) {
      ++it;
      continue;
    }
    late.push_back(std::move(*it));
    it = own.callers.erase(it);
  }
  for (const WaitingCaller& caller : late) caller.on_answer(MakeUnknown());
}

void OnceCore::DropLateForeign() {
  const TimePoint now = m_clock.GetNow();
  std::vector<WaitingCaller> late;
  for (auto it = m_foreign.begin(); it != m_foreign.end();) {
    auto& callers = it->second;
    const auto first_late = std::partition(callers.begin(), callers.end(),
                                           [now](const WaitingCaller& caller) { return now < caller.patience; });
    std::move(first_late, callers.end(), std::back_inserter(late));
    callers.erase(first_late, callers.end());
    it = callers.empty() ? m_foreign.erase(it) : std::next(it);
  }
  for (const WaitingCaller& caller : late) caller.on_answer(MakeUnknown());
}

OnceAnswer OnceCore::MakeRefusal(proto::RefusalReason reason, bool not_run) {
  OnceAnswer answer;
  answer.refusal = Refusal{reason, not_run, GetRetryAfter()};
  return answer;
}

OnceAnswer OnceCore::MakeUnknown() {
  ++m_counters.unknown;
  return MakeRefusal(proto::REFUSAL_REASON_UNKNOWN_OUTCOME, false);
}

Duration OnceCore::GetRetryAfter() {
  return kMinRetryAfter + std::chrono::milliseconds(m_random.GetBelow(kRetryAfterSpreadMs));
}

ClaimId OnceCore::MakeClaimId() { return ClaimId(m_writer + "/" + std::to_string(m_next_claim++)); }

bool OnceCore::IsOwnVm(const ClaimId& claim) const {
  const std::string prefix = m_options.vm.Get() + "/";
  return claim.Get().compare(0, prefix.size(), prefix) == 0;
}

}  // namespace plantain

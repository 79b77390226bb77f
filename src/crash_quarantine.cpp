#include "crash_quarantine.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "rendezvous.h"

namespace plantain {
namespace {

// How much evidence against a key of a kind is needed, as decimal logarithms of odds.
struct EvidenceRules {
  LossWeights weights;
  // Odds at which a key is blocked, and from which a request with it is not repeated.
  double to_block;
  double to_suspect;
};

// With less, a rare part whose requests happened to be at failing endpoints could be blocked.
constexpr EvidenceRules kPromptPartRules = {{0.85, 1.0, 0.85, false}, 4, 2};
// Requests that only share a part with a bad one have other keys, so that three ends are enough.
constexpr EvidenceRules kRequestRules = {{1.0, 1.0, 0.85, true}, 2.5, 2};
// What is needed beyond that against a key that was answered whole within this time.
constexpr double kSoundOdds = 2;
constexpr Duration kSoundMemory = std::chrono::minutes(10);

// Ends kept for one key.
constexpr size_t kMaxCrashes = 8;
// Runs that ended under one key that are remembered.
constexpr size_t kMaxEndedRuns = 64;
// Evidence older than this is dropped. Only a whole answer makes it void before, however rare the requests are.
constexpr Duration kMaxCrashAge = std::chrono::hours(1);
// Time after the last end for which evidence is reported. Peers keep what they have heard, and the next end brings all
// of it again.
constexpr Duration kCrashReportTime = std::chrono::minutes(1);
// A key without evidence is forgotten after this time.
constexpr Duration kMaxIdleTime = std::chrono::minutes(1);
// Exceeds the time in which an endpoint that ended is back.
constexpr Duration kMaxRestartTime = std::chrono::seconds(10);
// Time for which an answer is reported to peers that may hold older evidence.
constexpr Duration kAnswerReportTime = std::chrono::seconds(10);
// Delays from the last end to a trial whether a blocked key still ends endpoints. After these the key stays blocked
// while callers send it.
constexpr std::array<Duration, 3> kTrialDelays = {std::chrono::minutes(10), std::chrono::hours(1),
                                                  std::chrono::hours(6)};
// Time after which a trial that had no result is repeated.
constexpr Duration kTrialTimeout = std::chrono::minutes(1);
// A blocked key that no request at any entry has named for this time is forgotten.
constexpr Duration kMaxUnusedTime = std::chrono::hours(1);
// The answer that ended a block is remembered for longer than any process keeps the block without hearing of it.
constexpr Duration kMaxClearedTime = kMaxUnusedTime + std::chrono::minutes(1);
// A report that arrives makes its times later by its delay. Of a known time it must exceed this, else processes that
// repeat each other's reports would keep what they report young.
constexpr Duration kAgeTolerance = Milliseconds(100);
// What is about to be forgotten is not taken from a peer any more, so that processes do not return it to each other.
constexpr Duration kMinTimeLeft = Milliseconds(1000);
// Limits on the memory used, and on what is sent to peers.
constexpr size_t kMaxContentsPerKind = 256;
// Keys of one request that are added at an end.
constexpr size_t kMaxNewSuspects = 64;
constexpr size_t kMaxReportsPerKind = 8;
// Of these, those that keys without a place of their own share, each for some time.
constexpr size_t kSharedReportsPerKind = 2;
constexpr Duration kSharedReportTime = Milliseconds(1000);
constexpr size_t kMaxAnswered = 512;
constexpr size_t kMaxCompanions = 8;

const EvidenceRules& GetRules(const ContentKey& key) {
  return key.kind == ContentKind::kRequest ? kRequestRules : kPromptPartRules;
}

// Raises a time to what a peer reports, unless both are the same event.
void RaiseTo(TimePoint& known, TimePoint reported) {
  if (reported > known + kAgeTolerance) known = reported;
}

TimePoint GetFirstEnd(const std::vector<AttemptLoss>& crashes) {
  return std::min_element(crashes.begin(), crashes.end(),
                          [](const AttemptLoss& a, const AttemptLoss& b) { return a.at < b.at; })
      ->at;
}

bool Contains(const std::vector<ContentKey>& keys, const ContentKey& key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}

}  // namespace

void AddAge(std::vector<ContentReport>& reports, Duration passed) {
  for (ContentReport& report : reports) {
    for (ContentCrash& crash : report.crashes) {
      crash.age += passed;
      crash.sent_age += passed;
    }
    if (report.blocked_age.has_value()) *report.blocked_age += passed;
    report.last_crash_age += passed;
    report.used_age += passed;
    if (report.answered_age.has_value()) *report.answered_age += passed;
  }
}

std::optional<TimePoint> CrashQuarantine::GetLastAnswer(const ContentKey& key) const {
  const auto found = m_answered.find(key);
  return found == m_answered.end() ? std::nullopt : std::optional(found->second);
}

bool CrashQuarantine::IsKnownSound(const ContentKey& key) const {
  const auto found = m_contents.find(key);
  const std::optional<TimePoint> answered = found == m_contents.end() ? GetLastAnswer(key) : found->second.answered_at;
  return answered.has_value() && m_clock.GetNow() - *answered < kSoundMemory;
}

void CrashQuarantine::OnCrash(const std::vector<ContentKey>& keys, EndpointRun run, TimePoint sent_at,
                              AnswerProgress progress) {
  const TimePoint now = m_clock.GetNow();
  m_loss_rate.OnLost(run, now - sent_at);
  const std::set<ContentKey> unique(keys.begin(), keys.end());
  std::set<ContentKey> unproved = unique;
  std::erase_if(unproved, [&](const ContentKey& key) { return IsKnownSound(key); });
  for (const ContentKey& key : ChooseSuspects(unique, run)) {
    State* state = FindOrAdd(key, false);
    if (state == nullptr) continue;
    KeepCommon(key, *state, unproved);
    AddCrash(key, *state, {run, sent_at, now, progress});
    m_has_news = true;
  }
}

// What is known comes first. Of many others, each end picks some at random, so that one that is in all of them is found
// wherever it stands.
std::vector<ContentKey> CrashQuarantine::ChooseSuspects(const std::set<ContentKey>& keys, EndpointRun run) const {
  std::vector<ContentKey> suspects;
  std::vector<std::pair<uint64_t, ContentKey>> unknown;
  for (const ContentKey& key : keys) {
    if (m_contents.contains(key)) {
      suspects.push_back(key);
    } else {
      unknown.emplace_back(HashName(key.id + '/' + std::to_string(run.Get())), key);
    }
  }
  std::sort(unknown.begin(), unknown.end());
  if (unknown.size() > kMaxNewSuspects) unknown.resize(kMaxNewSuspects);
  for (auto& [hash, key] : unknown) suspects.push_back(std::move(key));
  return suspects;
}

void CrashQuarantine::OnSurvived(const std::vector<ContentKey>& keys, Duration running_time) {
  m_loss_rate.OnKept(running_time);
  for (const ContentKey& key : keys) {
    const auto found = m_contents.find(key);
    if (found != m_contents.end() && !found->second.crashes.empty()) found->second.survived += running_time;
  }
}

void CrashQuarantine::OnAnswered(const std::vector<ContentKey>& keys) {
  const TimePoint now = m_clock.GetNow();
  for (const ContentKey& key : keys) {
    m_answered[key] = now;
    const auto found = m_contents.find(key);
    if (found != m_contents.end()) Clear(key, found->second, now, false);
  }
  if (m_answered.size() > kMaxAnswered) ForgetAnswers();
}

// Forgets the older half of the answers.
void CrashQuarantine::ForgetAnswers() {
  std::vector<TimePoint> times;
  for (const auto& [key, at] : m_answered) times.push_back(at);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(m_answered, [&](const auto& entry) { return entry.second <= *middle; });
}

CrashQuarantine::State* CrashQuarantine::FindOrAdd(const ContentKey& key, bool is_blocked) {
  const auto found = m_contents.find(key);
  if (found != m_contents.end()) return &found->second;
  if (!MakeRoom(key.kind, is_blocked)) return nullptr;
  State& state = m_contents[key];
  state.used_at = m_clock.GetNow();
  state.answered_at = GetLastAnswer(key);
  return &state;
}

bool CrashQuarantine::MakeRoom(ContentKind kind, bool is_blocked) {
  RemoveUnused();
  const auto first = m_contents.lower_bound(ContentKey{kind, ""});
  const auto end =
      std::find_if(first, m_contents.end(), [kind](const auto& entry) { return entry.first.kind != kind; });
  if (static_cast<size_t>(std::distance(first, end)) < kMaxContentsPerKind) return true;
  const auto weakest = std::min_element(first, end, [](const auto& a, const auto& b) {
    const auto get_rank = [](const State& state) {
      return std::tuple(state.is_blocked, state.is_cleared, state.crashes.size(), state.used_at);
    };
    return get_rank(a.second) < get_rank(b.second);
  });
  if (weakest->second.is_blocked && !is_blocked) return false;
  m_contents.erase(weakest);
  return true;
}

bool CrashQuarantine::IsUnused(const State& state) const {
  const TimePoint now = m_clock.GetNow();
  if (state.is_blocked) return now - state.used_at > kMaxUnusedTime;
  if (state.is_cleared && now - *state.answered_at <= kMaxClearedTime) return false;
  return now - state.used_at > (state.crashes.empty() ? kMaxIdleTime : kMaxCrashAge);
}

void CrashQuarantine::RemoveUnused() {
  std::erase_if(m_contents, [&](const auto& entry) { return IsUnused(entry.second); });
}

void CrashQuarantine::KeepCommon(const ContentKey& key, State& state, const std::set<ContentKey>& others) {
  if (!state.crashes.empty() || state.is_blocked) {
    std::erase_if(state.companions, [&](const ContentKey& companion) { return !others.contains(companion); });
    return;
  }
  state.companions.clear();
  for (const ContentKey& other : others) {
    if (state.companions.size() == kMaxCompanions) return;
    if (other != key && other.kind == key.kind) state.companions.push_back(other);
  }
}

void CrashQuarantine::AddCrash(const ContentKey& key, State& state, const AttemptLoss& crash) {
  const TimePoint now = m_clock.GetNow();
  RaiseTo(state.used_at, crash.at);
  if (state.answered_at.has_value() && crash.at <= *state.answered_at + kAgeTolerance) return;
  if (IsDisproved(crash) || IsExplained(key, crash.run)) return;
  std::erase_if(state.crashes, [&](const AttemptLoss& old) { return now - old.at > kMaxCrashAge; });
  const auto known = std::find_if(state.crashes.begin(), state.crashes.end(),
                                  [&](const AttemptLoss& old) { return old.run == crash.run; });
  if (state.is_blocked && state.trial_at.has_value() && crash.sent_at >= *state.trial_at) {
    state.trial_at.reset();
    ++state.trials;
  }
  RaiseTo(state.last_crash_at, crash.at);
  if (known != state.crashes.end()) {
    // Several attempts with the key may have been at the run.
    known->sent_at = std::min(known->sent_at, crash.sent_at);
    if (crash.progress == AnswerProgress::kHeader) known->progress = crash.progress;
    known->others_at_once = std::max(known->others_at_once, crash.others_at_once);
    return;
  }
  // A run that is not kept any more has been counted.
  if (now - crash.at > kMaxCrashAge || state.ended_runs.contains(crash.run)) return;
  if (state.ended_runs.size() < kMaxEndedRuns) state.ended_runs.insert(crash.run);
  AttemptLoss added = crash;
  CountAtOnce(state.crashes, added);
  state.crashes.push_back(added);
  if (state.crashes.size() > kMaxCrashes) RemoveLeastIndependent(state.crashes, GetRules(key).weights);
  if (!state.is_blocked && HasOdds(key, state, GetRules(key).to_block)) {
    state.first_crash_at = GetFirstEnd(state.crashes);
    Block(key, state, false);
  }
}

AttemptTotals CrashQuarantine::GetTotals(const ContentKey& key, const State& state) const {
  AttemptTotals totals;
  totals.survived = state.survived;
  if (m_running != nullptr) totals.survived += m_running->GetRunningTime(key);
  m_loss_rate.AddTo(totals, GetExplainedRuns(state));
  return totals;
}

std::set<EndpointRun> CrashQuarantine::GetExplainedRuns(const State& state) const {
  std::set<EndpointRun> runs = state.ended_runs;
  for (const auto& [key, other] : m_contents) {
    if (other.is_blocked) runs.insert(other.ended_runs.begin(), other.ended_runs.end());
  }
  return runs;
}

bool CrashQuarantine::HasOdds(const ContentKey& key, const State& state, double needed) const {
  if (IsKnownSound(key)) needed += kSoundOdds;
  const LossWeights& weights = GetRules(key).weights;
  if (GetMaxLogOdds(state.crashes, weights) < needed) return false;
  LossStatistics statistics;
  statistics.losses = state.crashes;
  statistics.totals = GetTotals(key, state);
  for (const auto& [entry, totals] : state.totals_elsewhere) {
    statistics.totals.survived += totals.survived;
    statistics.totals.other_losses += totals.other_losses;
    statistics.totals.other_running += totals.other_running;
  }
  return GetLogOdds(std::move(statistics), weights) >= needed;
}

// A whole request was at these endpoints together with the blocked content, which explains their ends.
void CrashQuarantine::Explain(const ContentKey& key, const State& state) {
  for (auto& [other, other_state] : m_contents) {
    if (other == key || other.kind != ContentKind::kRequest || other_state.is_blocked) continue;
    std::erase_if(other_state.crashes, [&](const AttemptLoss& crash) {
      return std::any_of(state.crashes.begin(), state.crashes.end(),
                         [&](const AttemptLoss& explained) { return explained.run == crash.run; });
    });
  }
}

bool CrashQuarantine::IsExplained(const ContentKey& key, EndpointRun run) const {
  if (key.kind != ContentKind::kRequest) return false;
  return std::any_of(m_contents.begin(), m_contents.end(), [&](const auto& entry) {
    const auto& [other, state] = entry;
    return other != key && state.is_blocked &&
           std::any_of(state.crashes.begin(), state.crashes.end(),
                       [&](const AttemptLoss& crash) { return crash.run == run; });
  });
}

bool CrashQuarantine::IsDisproved(const AttemptLoss& crash) const {
  const auto found = m_alive_runs.find(crash.run);
  return found != m_alive_runs.end() && crash.at < found->second;
}

void CrashQuarantine::OnRunAnswered(EndpointRun run, TimePoint sent_at) {
  bool is_disproved = false;
  for (auto& [key, state] : m_contents) {
    if (state.is_blocked) continue;
    const size_t disproved =
        std::erase_if(state.crashes, [&](const AttemptLoss& crash) { return crash.run == run && crash.at < sent_at; });
    if (disproved == 0) continue;
    state.ended_runs.erase(run);
    is_disproved = true;
  }
  if (!is_disproved) return;
  const TimePoint now = m_clock.GetNow();
  std::erase_if(m_alive_runs, [&](const auto& alive) { return now - alive.second > kMaxCrashAge; });
  // Peers repeat the evidence until they have an answer of their own.
  m_alive_runs[run] = sent_at;
}

bool CrashQuarantine::HasEnded(EndpointRun run) const {
  return std::any_of(m_contents.begin(), m_contents.end(), [&](const auto& entry) {
    const std::vector<AttemptLoss>& crashes = entry.second.crashes;
    return std::any_of(crashes.begin(), crashes.end(), [&](const AttemptLoss& crash) { return crash.run == run; });
  });
}

bool CrashQuarantine::HasRecentEnd(const std::vector<ContentKey>& keys) const {
  const TimePoint now = m_clock.GetNow();
  return std::any_of(keys.begin(), keys.end(), [&](const ContentKey& key) {
    const auto found = m_contents.find(key);
    return found != m_contents.end() && !found->second.crashes.empty() &&
           now - found->second.last_crash_at < kMaxRestartTime;
  });
}

bool CrashQuarantine::KnowsRequests() const {
  return std::any_of(m_contents.begin(), m_contents.end(), [](const auto& entry) {
    const auto& [key, state] = entry;
    const bool is_only_cleared = state.is_cleared && !state.is_blocked && state.crashes.empty();
    return key.kind == ContentKind::kRequest && !is_only_cleared;
  });
}

void CrashQuarantine::Block(const ContentKey& key, State& state, bool is_from_peer) {
  state.is_blocked = true;
  state.trial_at.reset();
  Explain(key, state);
  m_has_news = m_has_news || !is_from_peer;
  const Duration age = m_clock.GetNow() - state.first_crash_at;
  m_changes.push_back({key, true, state.crashes.size(), state.companions.size(), age, is_from_peer});
}

void CrashQuarantine::Clear(const ContentKey& key, State& state, TimePoint answered_at, bool is_from_peer) {
  const Duration tolerance = is_from_peer ? kAgeTolerance : Duration();
  if (state.answered_at.has_value() && answered_at <= *state.answered_at + tolerance) return;
  // The key is not the cause where it occurred together with others.
  for (auto& [other, other_state] : m_contents) std::erase(other_state.companions, key);
  const bool had_evidence = state.is_blocked || !state.crashes.empty();
  const TimePoint sound_until = answered_at + kAgeTolerance;
  std::erase_if(state.crashes, [&](const AttemptLoss& crash) { return crash.at <= sound_until; });
  state.survived = Duration::zero();
  state.totals_elsewhere.clear();
  state.answered_at = answered_at;
  if (state.is_blocked && state.first_crash_at <= sound_until) {
    state.is_blocked = false;
    state.is_cleared = true;
    state.trials = 0;
    state.trial_at.reset();
    const Duration age = m_clock.GetNow() - state.first_crash_at;
    m_changes.push_back({key, false, state.crashes.size(), state.companions.size(), age, is_from_peer});
  }
  if (state.crashes.empty()) {
    state.companions.clear();
    state.ended_runs.clear();
  }
  m_has_news = m_has_news || (!is_from_peer && had_evidence);
}

bool CrashQuarantine::Matches(const ContentKey& key, const State& state, const std::vector<ContentKey>& keys) const {
  if (!state.is_blocked || !Contains(keys, key)) return false;
  return std::all_of(state.companions.begin(), state.companions.end(),
                     [&](const ContentKey& companion) { return Contains(keys, companion); });
}

bool CrashQuarantine::IsBlocked(const std::vector<ContentKey>& keys) const {
  return std::any_of(keys.begin(), keys.end(), [&](const ContentKey& key) {
    const auto found = m_contents.find(key);
    return found != m_contents.end() && Matches(key, found->second, keys);
  });
}

bool CrashQuarantine::IsSuspect(const std::vector<ContentKey>& keys) const {
  return std::any_of(keys.begin(), keys.end(), [&](const ContentKey& key) {
    const auto found = m_contents.find(key);
    if (found == m_contents.end()) return false;
    return HasOdds(key, found->second, GetRules(key).to_suspect) || Matches(key, found->second, keys);
  });
}

bool CrashQuarantine::IsTrialDue(const State& state) const {
  if (!m_is_trial_owner || state.trials >= kTrialDelays.size()) return false;
  const TimePoint now = m_clock.GetNow();
  if (state.trial_at.has_value() && now - *state.trial_at < kTrialTimeout) return false;
  return now - state.last_crash_at >= kTrialDelays.at(state.trials);
}

ContentAdmission CrashQuarantine::Admit(const std::vector<ContentKey>& keys) {
  RemoveUnused();
  const TimePoint now = m_clock.GetNow();
  State* blocked = nullptr;
  for (const ContentKey& key : keys) {
    const auto found = m_contents.find(key);
    if (found == m_contents.end() || !Matches(key, found->second, keys)) continue;
    found->second.used_at = now;
    if (!IsTrialDue(found->second)) return ContentAdmission::kBlocked;
    blocked = &found->second;
  }
  if (blocked == nullptr) return ContentAdmission::kAllowed;
  blocked->trial_at = now;
  return ContentAdmission::kTrial;
}

bool CrashQuarantine::IsReportable(const State& state) const {
  if (IsUnused(state)) return false;
  const bool is_answer_news =
      state.answered_at.has_value() && m_clock.GetNow() - *state.answered_at < kAnswerReportTime;
  const bool is_crash_news = !state.crashes.empty() && m_clock.GetNow() - state.last_crash_at < kCrashReportTime;
  return state.is_blocked || state.is_cleared || is_crash_news || is_answer_news;
}

ContentReport CrashQuarantine::MakeReport(const ContentKey& key, const State& state) const {
  const TimePoint now = m_clock.GetNow();
  ContentReport report;
  report.key = key;
  report.companions = state.companions;
  report.trials = state.trials;
  report.used_age = now - state.used_at;
  if (state.is_blocked) {
    report.blocked_age = now - state.first_crash_at;
    report.last_crash_age = now - state.last_crash_at;
  }
  for (const AttemptLoss& crash : state.crashes) {
    report.crashes.push_back({crash.run, now - crash.at, now - crash.sent_at, crash.progress, crash.others_at_once});
  }
  // A single end never blocks a key, so that nothing needs to be compared with it.
  if (state.crashes.size() > 1) report.totals = GetTotals(key, state);
  if (state.answered_at.has_value()) report.answered_age = now - *state.answered_at;
  report.is_cleared = state.is_cleared;
  return report;
}

std::vector<ContentReport> CrashQuarantine::GetReports() const {
  std::map<ContentKind, std::vector<std::pair<const ContentKey*, const State*>>> kinds;
  for (const auto& [key, state] : m_contents) {
    if (IsReportable(state)) kinds[key.kind].emplace_back(&key, &state);
  }
  const auto turn = static_cast<size_t>(m_clock.GetNow().time_since_epoch() / kSharedReportTime);
  std::vector<ContentReport> reports;
  for (auto& [kind, chosen] : kinds) {
    std::stable_sort(chosen.begin(), chosen.end(), [](const auto& a, const auto& b) {
      const auto get_rank = [](const State& state) {
        return std::tuple(state.is_blocked, state.crashes.size(), state.last_crash_at);
      };
      return get_rank(*a.second) > get_rank(*b.second);
    });
    if (chosen.size() > kMaxReportsPerKind) {
      const auto shared = chosen.begin() + (kMaxReportsPerKind - kSharedReportsPerKind);
      const auto shift = turn * kSharedReportsPerKind % static_cast<size_t>(chosen.end() - shared);
      std::rotate(shared, shared + static_cast<std::ptrdiff_t>(shift), chosen.end());
      chosen.resize(kMaxReportsPerKind);
    }
    for (const auto& [key, state] : chosen) reports.push_back(MakeReport(*key, *state));
  }
  return reports;
}

void CrashQuarantine::ApplyReports(const VmId& from, const std::vector<ContentReport>& reports) {
  for (const ContentReport& report : reports) ApplyReport(from, report);
}

void CrashQuarantine::ApplyVerdicts(const VmId& from, std::vector<ContentReport> reports) {
  for (ContentReport& report : reports) {
    if (!report.blocked_age.has_value()) report.crashes.clear();
    ApplyReport(from, report);
  }
}

// Whether a report says something about a key of which nothing is known here.
bool CrashQuarantine::IsWorthAdding(const ContentReport& report) const {
  if (report.blocked_age.has_value()) return report.used_age + kMinTimeLeft < kMaxUnusedTime;
  if (report.is_cleared && *report.answered_age + kMinTimeLeft < kMaxClearedTime) return true;
  return !report.crashes.empty();
}

void CrashQuarantine::ApplyReport(const VmId& from, const ContentReport& report) {
  const TimePoint now = m_clock.GetNow();
  const bool is_blocked = report.blocked_age.has_value();
  const bool is_new = !m_contents.contains(report.key);
  if (is_new && !IsWorthAdding(report)) return;
  State* state = FindOrAdd(report.key, is_blocked);
  if (state == nullptr) return;
  if (is_new) state->used_at = now - report.used_age;
  RaiseTo(state->used_at, now - report.used_age);
  if (report.answered_age.has_value()) Clear(report.key, *state, now - *report.answered_age, true);
  state->is_cleared = state->is_cleared || report.is_cleared;
  if (!is_blocked && report.crashes.empty()) return;
  KeepCommon(report.key, *state, {report.companions.begin(), report.companions.end()});
  if (report.crashes.size() > 1) state->totals_elsewhere[from] = report.totals;
  if (is_blocked) {
    ApplyBlock(report, *state);
    return;
  }
  for (const ContentCrash& crash : report.crashes) {
    AddCrash(report.key, *state,
             {crash.run, now - crash.sent_age, now - crash.age, crash.progress, crash.others_at_once});
  }
}

void CrashQuarantine::ApplyBlock(const ContentReport& report, State& state) {
  const TimePoint now = m_clock.GetNow();
  const TimePoint first_crash_at = now - *report.blocked_age;
  if (state.answered_at.has_value() && first_crash_at <= *state.answered_at + kAgeTolerance) return;
  state.trials = std::max(state.trials, report.trials);
  if (state.is_blocked) {
    RaiseTo(state.last_crash_at, now - report.last_crash_age);
    return;
  }
  state.last_crash_at = std::max(state.last_crash_at, now - report.last_crash_age);
  state.first_crash_at = first_crash_at;
  state.crashes.clear();
  for (const ContentCrash& crash : report.crashes) {
    state.crashes.push_back({crash.run, now - crash.sent_age, now - crash.age, crash.progress, crash.others_at_once});
    state.ended_runs.insert(crash.run);
  }
  Block(report.key, state, true);
}

std::vector<CrashQuarantine::Change> CrashQuarantine::TakeChanges() { return std::exchange(m_changes, {}); }

bool CrashQuarantine::TakeHasNews() { return std::exchange(m_has_news, false); }

size_t CrashQuarantine::GetBlockedCount() const {
  return static_cast<size_t>(
      std::count_if(m_contents.begin(), m_contents.end(), [](const auto& entry) { return entry.second.is_blocked; }));
}

}  // namespace plantain

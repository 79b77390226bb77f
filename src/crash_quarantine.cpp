#include "crash_quarantine.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace plantain {
namespace {

// How much evidence of a kind is needed.
struct EvidenceRules {
  // Weights of an endpoint's end, without and with the header of the answer.
  int weight_without_header;
  int weight_with_header;
  // Sum of weights at which a key is blocked, and from which a request with it is not repeated.
  int weight_to_block;
  int weight_to_suspect;
  // How many of the requests must have been sent after the first end.
  size_t later_sent_to_block;
};

// With less, a rare part whose requests happened to be at failing endpoints could be blocked.
constexpr EvidenceRules kPromptPartRules = {1, 2, 8, 4, 2};
// Requests that only share a part with a bad one have other keys, so that three ends without an answer are enough.
constexpr EvidenceRules kRequestRules = {1, 1, 3, 2, 1};

// Ends kept for one key.
constexpr size_t kMaxCrashes = 8;
// Evidence older than this is dropped.
constexpr Duration kMaxCrashAge = std::chrono::seconds(60);
// An endpoint's end is no evidence against a key if an answer with it began at some entry this long before it or
// later. It protects frequent keys while endpoints fail together and reports of answers are still on their way.
constexpr Duration kAnswerProtection = Milliseconds(1000);
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
constexpr size_t kMaxContents = 128;
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

void CrashQuarantine::OnCrash(const std::vector<ContentKey>& keys, EndpointRun run, TimePoint sent_at,
                              bool has_header) {
  const TimePoint now = m_clock.GetNow();
  std::vector<ContentKey> suspects;
  for (const ContentKey& key : keys) {
    const std::optional<TimePoint> answered = GetLastAnswer(key);
    const bool is_sound = answered.has_value() && now - *answered < kAnswerProtection;
    if (!is_sound && !Contains(suspects, key)) suspects.push_back(key);
  }
  for (const ContentKey& key : suspects) {
    State* state = FindOrAdd(key, false);
    if (state == nullptr) continue;
    std::vector<ContentKey> others = suspects;
    std::erase_if(others, [&key](const ContentKey& other) { return other == key || other.kind != key.kind; });
    KeepCommon(*state, others);
    AddCrash(key, *state, {run, now, sent_at, has_header});
    m_has_news = true;
  }
}

void CrashQuarantine::OnAnswered(const std::vector<ContentKey>& keys) {
  const TimePoint now = m_clock.GetNow();
  for (const ContentKey& key : keys) {
    m_answered[key] = now;
    const auto found = m_contents.find(key);
    if (found != m_contents.end()) Clear(key, found->second, now, false);
  }
  if (m_answered.size() <= kMaxAnswered) return;
  std::erase_if(m_answered, [&](const auto& entry) { return now - entry.second >= kAnswerProtection; });
}

CrashQuarantine::State* CrashQuarantine::FindOrAdd(const ContentKey& key, bool is_blocked) {
  const auto found = m_contents.find(key);
  if (found != m_contents.end()) return &found->second;
  RemoveUnused();
  if (m_contents.size() >= kMaxContents) {
    const auto weakest = std::min_element(m_contents.begin(), m_contents.end(), [](const auto& a, const auto& b) {
      const auto get_rank = [](const State& state) {
        return std::tuple(state.is_blocked, state.is_cleared, state.crashes.size(), state.used_at);
      };
      return get_rank(a.second) < get_rank(b.second);
    });
    if (weakest->second.is_blocked && !is_blocked) return nullptr;
    m_contents.erase(weakest);
  }
  State& state = m_contents[key];
  state.used_at = m_clock.GetNow();
  state.answered_at = GetLastAnswer(key);
  return &state;
}

bool CrashQuarantine::IsUnused(const State& state) const {
  const TimePoint now = m_clock.GetNow();
  if (state.is_blocked) return now - state.used_at > kMaxUnusedTime;
  if (state.is_cleared && now - *state.answered_at <= kMaxClearedTime) return false;
  return now - state.used_at > kMaxCrashAge;
}

void CrashQuarantine::RemoveUnused() {
  std::erase_if(m_contents, [&](const auto& entry) { return IsUnused(entry.second); });
}

// Keeps the companions that the key also has in another request; the first request sets them.
void CrashQuarantine::KeepCommon(State& state, const std::vector<ContentKey>& others) {
  if (state.crashes.empty() && !state.is_blocked) {
    state.companions.assign(others.begin(), others.begin() + std::min(others.size(), kMaxCompanions));
    return;
  }
  std::erase_if(state.companions, [&](const ContentKey& key) { return !Contains(others, key); });
}

void CrashQuarantine::AddCrash(const ContentKey& key, State& state, const Crash& crash) {
  const TimePoint now = m_clock.GetNow();
  RaiseTo(state.used_at, crash.at);
  if (state.answered_at.has_value() && crash.at <= *state.answered_at + kAnswerProtection) return;
  if (IsDisproved(crash) || IsExplained(key, crash.run)) return;
  std::erase_if(state.crashes, [&](const Crash& old) { return now - old.at > kMaxCrashAge; });
  const bool is_known =
      std::any_of(state.crashes.begin(), state.crashes.end(), [&](const Crash& old) { return old.run == crash.run; });
  if (state.is_blocked && state.trial_at.has_value() && crash.sent_at >= *state.trial_at) {
    state.trial_at.reset();
    ++state.trials;
  }
  RaiseTo(state.last_crash_at, crash.at);
  if (is_known || now - crash.at > kMaxCrashAge || !MakeRoom(state, crash)) return;
  state.crashes.push_back(crash);
  if (!state.is_blocked && HasProof(key, state)) {
    state.first_crash_at = GetFirstCrash(state).at;
    Block(key, state, false);
  }
}

// Returns whether another end can be kept. One whose request was sent after the first end displaces one whose request
// was not, since the proof needs such ends.
bool CrashQuarantine::MakeRoom(State& state, const Crash& crash) {
  if (state.crashes.size() < kMaxCrashes) return true;
  const Crash& first = GetFirstCrash(state);
  if (crash.sent_at < first.at) return false;
  const auto displaced = std::find_if(state.crashes.begin(), state.crashes.end(),
                                      [&](const Crash& old) { return &old != &first && old.sent_at < first.at; });
  if (displaced == state.crashes.end()) return false;
  state.crashes.erase(displaced);
  return true;
}

const CrashQuarantine::Crash& CrashQuarantine::GetFirstCrash(const State& state) {
  return *std::min_element(state.crashes.begin(), state.crashes.end(),
                           [](const Crash& a, const Crash& b) { return a.at < b.at; });
}

int CrashQuarantine::GetWeight(const ContentKey& key, const State& state) {
  const EvidenceRules& rules = GetRules(key);
  int weight = 0;
  for (const Crash& crash : state.crashes) {
    weight += crash.has_header ? rules.weight_with_header : rules.weight_without_header;
  }
  return weight;
}

bool CrashQuarantine::HasProof(const ContentKey& key, const State& state) {
  if (GetWeight(key, state) < GetRules(key).weight_to_block) return false;
  const TimePoint first = GetFirstCrash(state).at;
  const auto later_sent = std::count_if(state.crashes.begin(), state.crashes.end(),
                                        [&](const Crash& crash) { return crash.sent_at >= first; });
  return static_cast<size_t>(later_sent) >= GetRules(key).later_sent_to_block;
}

// A whole request was at these endpoints together with the blocked content, which explains their ends.
void CrashQuarantine::Explain(const ContentKey& key, const State& state) {
  for (auto& [other, other_state] : m_contents) {
    if (other == key || other.kind != ContentKind::kRequest || other_state.is_blocked) continue;
    std::erase_if(other_state.crashes, [&](const Crash& crash) {
      return std::any_of(state.crashes.begin(), state.crashes.end(),
                         [&](const Crash& explained) { return explained.run == crash.run; });
    });
  }
}

bool CrashQuarantine::IsExplained(const ContentKey& key, EndpointRun run) const {
  if (key.kind != ContentKind::kRequest) return false;
  return std::any_of(m_contents.begin(), m_contents.end(), [&](const auto& entry) {
    const auto& [other, state] = entry;
    return other != key && state.is_blocked &&
           std::any_of(state.crashes.begin(), state.crashes.end(),
                       [&](const Crash& crash) { return crash.run == run; });
  });
}

bool CrashQuarantine::IsDisproved(const Crash& crash) const {
  const auto found = m_alive_runs.find(crash.run);
  return found != m_alive_runs.end() && crash.at < found->second;
}

void CrashQuarantine::OnRunAnswered(EndpointRun run, TimePoint sent_at) {
  bool is_disproved = false;
  for (auto& [key, state] : m_contents) {
    if (state.is_blocked) continue;
    is_disproved |=
        std::erase_if(state.crashes, [&](const Crash& crash) { return crash.run == run && crash.at < sent_at; }) > 0;
  }
  if (!is_disproved) return;
  const TimePoint now = m_clock.GetNow();
  std::erase_if(m_alive_runs, [&](const auto& alive) { return now - alive.second > kMaxCrashAge; });
  // Peers repeat the evidence until they have an answer of their own.
  m_alive_runs[run] = sent_at;
}

bool CrashQuarantine::HasEnded(EndpointRun run) const {
  return std::any_of(m_contents.begin(), m_contents.end(), [&](const auto& entry) {
    const std::vector<Crash>& crashes = entry.second.crashes;
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash& crash) { return crash.run == run; });
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
  const TimePoint protected_until = answered_at + kAnswerProtection;
  std::erase_if(state.crashes, [&](const Crash& crash) { return crash.at <= protected_until; });
  state.answered_at = answered_at;
  if (state.is_blocked && state.first_crash_at <= protected_until) {
    state.is_blocked = false;
    state.is_cleared = true;
    state.trials = 0;
    state.trial_at.reset();
    const Duration age = m_clock.GetNow() - state.first_crash_at;
    m_changes.push_back({key, false, state.crashes.size(), state.companions.size(), age, is_from_peer});
  }
  if (state.crashes.empty()) state.companions.clear();
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
    return GetWeight(key, found->second) >= GetRules(key).weight_to_suspect || Matches(key, found->second, keys);
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
  return state.is_blocked || state.is_cleared || !state.crashes.empty() || is_answer_news;
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
  for (const Crash& crash : state.crashes) {
    report.crashes.push_back({crash.run, now - crash.at, now - crash.sent_at, crash.has_header});
  }
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

void CrashQuarantine::ApplyReports(const std::vector<ContentReport>& reports) {
  for (const ContentReport& report : reports) ApplyReport(report);
}

void CrashQuarantine::ApplyVerdicts(std::vector<ContentReport> reports) {
  for (ContentReport& report : reports) {
    if (!report.blocked_age.has_value()) report.crashes.clear();
    ApplyReport(report);
  }
}

// Whether a report says something about a key of which nothing is known here.
bool CrashQuarantine::IsWorthAdding(const ContentReport& report) const {
  if (report.blocked_age.has_value()) return report.used_age + kMinTimeLeft < kMaxUnusedTime;
  if (report.is_cleared && *report.answered_age + kMinTimeLeft < kMaxClearedTime) return true;
  return !report.crashes.empty();
}

void CrashQuarantine::ApplyReport(const ContentReport& report) {
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
  KeepCommon(*state, report.companions);
  if (is_blocked) {
    ApplyBlock(report, *state);
    return;
  }
  for (const ContentCrash& crash : report.crashes) {
    AddCrash(report.key, *state, {crash.run, now - crash.age, now - crash.sent_age, crash.has_header});
  }
}

void CrashQuarantine::ApplyBlock(const ContentReport& report, State& state) {
  const TimePoint now = m_clock.GetNow();
  const TimePoint first_crash_at = now - *report.blocked_age;
  if (state.answered_at.has_value() && first_crash_at <= *state.answered_at + kAnswerProtection) return;
  state.trials = std::max(state.trials, report.trials);
  if (state.is_blocked) {
    RaiseTo(state.last_crash_at, now - report.last_crash_age);
    return;
  }
  state.last_crash_at = std::max(state.last_crash_at, now - report.last_crash_age);
  state.first_crash_at = first_crash_at;
  state.crashes.clear();
  for (const ContentCrash& crash : report.crashes) {
    state.crashes.push_back({crash.run, now - crash.age, now - crash.sent_age, crash.has_header});
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

// Finds contents at which endpoints crash, and decides which requests must not be sent because of them. No I/O.

#ifndef PLANTAIN_CRASH_QUARANTINE_H_
#define PLANTAIN_CRASH_QUARANTINE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "attempt_loss_rate.h"
#include "clock.h"
#include "crash_odds.h"
#include "crash_report_type.h"

namespace plantain {

// Result of a check of a request's contents.
enum class ContentAdmission {
  kAllowed,
  // Allowed to find out whether a blocked key still ends endpoints.
  kTrial,
  kBlocked,
};

// The attempts of this process that run now.
class RunningAttempts {
 public:
  virtual ~RunningAttempts() = default;

  // Returns the times from the send to the endpoint's last sign of life, summed over the attempts with this key.
  virtual Duration GetRunningTime(const ContentKey& key) const = 0;
};

// Load pattern: requests with a common content arrive at every entry, and each one ends the endpoint that runs it,
// before its answer begins or anywhere within it. The content is a part of their prompts, or the whole request that
// comes again and again. It is blocked once the ends of endpoints' runs under it, over all entries, are too many for a
// coincidence: see crash_odds.h. What counts against an end is how often attempts without the content lose their
// endpoints, and the time that attempts with it run. Only an answer that came to its end whole proves that a content is
// sound; one that has begun is evidence of life up to its last event. An answer of the endpoint to a request that was
// sent after its supposed end proves that there was no end. A content that was proved sound lately needs more evidence.
// Parts that always occurred together are blocked only together, because either may be the cause, unless one is known
// to be sound. Ends at a blocked content are no evidence against the requests that were there too.
//
// All entries exchange their evidence and answers. Used on one traffic loop.
class CrashQuarantine {
 public:
  // `running` must outlive this object; null for a process without requests of its own.
  explicit CrashQuarantine(const Clock& clock, const RunningAttempts* running = nullptr)
      : m_clock(clock), m_running(running), m_loss_rate(clock) {}

  // Records that an endpoint's run ended before the answer to a request that was sent at `sent_at` was whole. `keys`
  // are those of its contents, `progress` is how much of the answer had come.
  void OnCrash(const std::vector<ContentKey>& keys, EndpointRun run, TimePoint sent_at, AnswerProgress progress);
  // Records that an attempt with these keys ended for another reason, `running_time` being the time from its send to
  // the endpoint's last sign of life.
  void OnSurvived(const std::vector<ContentKey>& keys, Duration running_time);
  // Records that an endpoint gave the answer to a request with these keys from its begin to its end.
  void OnAnswered(const std::vector<ContentKey>& keys);

  // Records that an endpoint's run answered a request that was sent at `sent_at`, so that it had not ended before.
  void OnRunAnswered(EndpointRun run, TimePoint sent_at);

  // Whether a request that was at an endpoint when it ended is not worth another endpoint: other endpoints have ended
  // at one of its keys too.
  bool IsSuspect(const std::vector<ContentKey>& keys) const;
  // Whether an endpoint has ended at one of these keys so lately that it cannot be back.
  bool HasRecentEnd(const std::vector<ContentKey>& keys) const;
  // Whether a run is known to have ended.
  bool HasEnded(EndpointRun run) const;
  // Whether anything is known about whole requests, so that their keys are needed for more than ends.
  bool KnowsRequests() const;
  // Whether anything is known at all.
  bool IsEmpty() const { return m_contents.empty(); }
  // Whether a request must not be sent to an endpoint.
  bool IsBlocked(const std::vector<ContentKey>& keys) const;
  // Decides about a request that is about to be sent, and records a trial that it allows.
  ContentAdmission Admit(const std::vector<ContentKey>& keys);

  // Sets whether this entry is the one that sends trials for all entries that it knows.
  void SetTrialOwner(bool is_owner) { m_is_trial_owner = is_owner; }

  // Returns what other processes need to know, blocked keys first. What finds no room comes in turn.
  std::vector<ContentReport> GetReports() const;
  void ApplyReports(const VmId& from, const std::vector<ContentReport>& reports);
  // Takes blocks and the answers that end them, but no evidence. For a process without requests of its own: it keeps
  // them for entries that start later, and no answer tells it that some evidence was wrong.
  void ApplyVerdicts(const VmId& from, std::vector<ContentReport> reports);

  // Keys whose state has changed since the last call, for the log. `crashes` counts runs of endpoints.
  struct Change {
    ContentKey key;
    bool is_blocked = false;
    size_t crashes = 0;
    size_t companions = 0;
    // Time since the first end.
    Duration age{};
    bool is_from_peer = false;
  };
  std::vector<Change> TakeChanges();
  // Whether evidence was found here that other entries have not been sent yet.
  bool TakeHasNews();

  size_t GetBlockedCount() const;

 private:
  struct State {
    std::vector<AttemptLoss> crashes;
    // All runs that ended under the key, also those whose ends are not kept.
    std::set<EndpointRun> ended_runs;
    std::vector<ContentKey> companions;
    bool is_blocked = false;
    // First of the ends that the block rests on, and the last end.
    TimePoint first_crash_at;
    TimePoint last_crash_at;
    uint32_t trials = 0;
    std::optional<TimePoint> trial_at;
    // Last whole answer with the key at any entry.
    std::optional<TimePoint> answered_at;
    // Whether an answer has ended a block, which processes that did not hear of it may still report.
    bool is_cleared = false;
    // Last request with the key at any entry.
    TimePoint used_at;
    // Time that ended attempts with the key survived here, and the totals that other entries reported.
    Duration survived{};
    std::map<VmId, AttemptTotals> totals_elsewhere;
  };

  State* FindOrAdd(const ContentKey& key, bool is_blocked);
  // Removes the key of a kind that matters least if there is no room for another one. Returns whether there is room.
  bool MakeRoom(ContentKind kind, bool is_blocked);
  void AddCrash(const ContentKey& key, State& state, const AttemptLoss& crash);
  void Block(const ContentKey& key, State& state, bool is_from_peer);
  void Clear(const ContentKey& key, State& state, TimePoint answered_at, bool is_from_peer);
  void ApplyReport(const VmId& from, const ContentReport& report);
  void ApplyBlock(const ContentReport& report, State& state);
  bool IsWorthAdding(const ContentReport& report) const;
  bool IsReportable(const State& state) const;
  ContentReport MakeReport(const ContentKey& key, const State& state) const;
  // Returns the keys to which an end of this run is charged.
  std::vector<ContentKey> ChooseSuspects(const std::set<ContentKey>& keys, EndpointRun run) const;
  // Keeps the companions that the key also has in another request; the first request sets them.
  static void KeepCommon(const ContentKey& key, State& state, const std::set<ContentKey>& others);
  bool IsKnownSound(const ContentKey& key) const;
  // Returns the totals of this process.
  AttemptTotals GetTotals(const ContentKey& key, const State& state) const;
  // Returns the runs whose ends are no measure of how often endpoints end without the content.
  std::set<EndpointRun> GetExplainedRuns(const State& state) const;
  // Whether the odds that the content ends endpoints are at least 10 to the power of `needed`.
  bool HasOdds(const ContentKey& key, const State& state, double needed) const;
  void Explain(const ContentKey& key, const State& state);
  bool IsExplained(const ContentKey& key, EndpointRun run) const;
  bool IsDisproved(const AttemptLoss& crash) const;
  bool IsTrialDue(const State& state) const;
  // Returns the time of the last whole answer with a key here, or nothing if none is remembered.
  std::optional<TimePoint> GetLastAnswer(const ContentKey& key) const;
  bool Matches(const ContentKey& key, const State& state, const std::vector<ContentKey>& keys) const;
  bool IsUnused(const State& state) const;
  void RemoveUnused();
  void ForgetAnswers();

  const Clock& m_clock;
  const RunningAttempts* m_running;
  AttemptLossRate m_loss_rate;
  std::map<ContentKey, State> m_contents;
  // Last whole answers here, by key.
  std::map<ContentKey, TimePoint> m_answered;
  // Runs that answered after their supposed end, with the time at which the answered request was sent.
  std::map<EndpointRun, TimePoint> m_alive_runs;
  std::vector<Change> m_changes;
  bool m_has_news = false;
  bool m_is_trial_owner = false;
};

}  // namespace plantain

#endif  // PLANTAIN_CRASH_QUARANTINE_H_

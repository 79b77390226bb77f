// Finds contents at which endpoints crash, and decides which requests must not be sent because of them. No I/O.

#ifndef PLANTAIN_CRASH_QUARANTINE_H_
#define PLANTAIN_CRASH_QUARANTINE_H_

#include <map>
#include <optional>
#include <vector>

#include "clock.h"
#include "crash_report_type.h"

namespace plantain {

// Result of a check of a request's contents.
enum class ContentAdmission {
  kAllowed,
  // Allowed to find out whether a blocked key still ends endpoints.
  kTrial,
  kBlocked,
};

// Load pattern: requests with a common content arrive at every entry, and each one ends the endpoint that runs it. The
// content is a part of their prompts, or the whole request that comes again and again. It is blocked after the ends of
// some runs of endpoints, counted over all entries. Evidence is an endpoint that ends before the answer's first event.
// An end before the answer's header counts less against a prompt part, because the endpoint may have been at work on
// other requests; ends under one and the same request are no coincidence. An answer that begins is proof to the
// contrary, and so is an answer of the endpoint to a request that was sent after its supposed end. Endpoints that fail
// together, for example in a power failure, end requests that were all sent before the first end; so some of the
// requests must have been sent after it. Parts that always occurred together are blocked only together, because either
// may be the cause. Ends at a blocked content are no evidence against the requests that were there too.
//
// All entries exchange their evidence and answers. Used on one traffic loop.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const Clock& clock) : m_clock(clock) {}

  // Records that an endpoint's run ended before the first event of the answer to a request sent at `sent_at`. `keys`
  // are those of its contents, `has_header` tells whether the answer's header had come.
  void OnCrash(const std::vector<ContentKey>& keys, EndpointRun run, TimePoint sent_at, bool has_header);
  // Records that the answer to a request with these keys has begun.
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
  void ApplyReports(const std::vector<ContentReport>& reports);
  // Takes blocks and the answers that end them, but no evidence. For a process without requests of its own: it keeps
  // them for entries that start later, and no answer tells it that some evidence was wrong.
  void ApplyVerdicts(std::vector<ContentReport> reports);

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
  struct Crash {
    EndpointRun run;
    TimePoint at;
    TimePoint sent_at;
    bool has_header = false;
  };
  struct State {
    std::vector<Crash> crashes;
    std::vector<ContentKey> companions;
    bool is_blocked = false;
    // First of the ends that the block rests on, and the last end.
    TimePoint first_crash_at;
    TimePoint last_crash_at;
    uint32_t trials = 0;
    std::optional<TimePoint> trial_at;
    std::optional<TimePoint> answered_at;
    // Whether an answer has ended a block, which processes that did not hear of it may still report.
    bool is_cleared = false;
    // Last answer with the key that began at any entry, and the last request with it.
    TimePoint used_at;
  };

  State* FindOrAdd(const ContentKey& key, bool is_blocked);
  void AddCrash(const ContentKey& key, State& state, const Crash& crash);
  void Block(const ContentKey& key, State& state, bool is_from_peer);
  void Clear(const ContentKey& key, State& state, TimePoint answered_at, bool is_from_peer);
  void ApplyReport(const ContentReport& report);
  void ApplyBlock(const ContentReport& report, State& state);
  bool IsWorthAdding(const ContentReport& report) const;
  bool IsReportable(const State& state) const;
  ContentReport MakeReport(const ContentKey& key, const State& state) const;
  void KeepCommon(State& state, const std::vector<ContentKey>& others);
  static bool MakeRoom(State& state, const Crash& crash);
  static const Crash& GetFirstCrash(const State& state);
  static int GetWeight(const ContentKey& key, const State& state);
  static bool HasProof(const ContentKey& key, const State& state);
  void Explain(const ContentKey& key, const State& state);
  bool IsExplained(const ContentKey& key, EndpointRun run) const;
  bool IsDisproved(const Crash& crash) const;
  bool IsTrialDue(const State& state) const;
  // Returns the time of the last answer with a key that began here, or nothing if none is remembered.
  std::optional<TimePoint> GetLastAnswer(const ContentKey& key) const;
  bool Matches(const ContentKey& key, const State& state, const std::vector<ContentKey>& keys) const;
  bool IsUnused(const State& state) const;
  void RemoveUnused();

  const Clock& m_clock;
  std::map<ContentKey, State> m_contents;
  // Last answers that began here, by key.
  std::map<ContentKey, TimePoint> m_answered;
  // Runs that answered after their supposed end, with the time at which the answered request was sent.
  std::map<EndpointRun, TimePoint> m_alive_runs;
  std::vector<Change> m_changes;
  bool m_has_news = false;
  bool m_is_trial_owner = false;
};

}  // namespace plantain

#endif  // PLANTAIN_CRASH_QUARANTINE_H_

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

// Load pattern: requests that share one key arrive at every entry, and each one ends the endpoint that begins to
// answer it. A key is blocked after the ends of four runs of endpoints, counted over all entries. Evidence for a key
// is an endpoint that ends before the answer's first event; if not even the answer's header had come, the end counts
// half, because the endpoint may have been at work on other requests. An answer that begins is proof against it.
// Endpoints that fail together, for example in a power failure, end requests that were all sent before the first end;
// so some of the requests must have been sent after it. Keys that always occurred together are blocked only together,
// because either may be the cause.
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

  // Whether a request that was at an endpoint when it ended is not worth a second endpoint: other endpoints have ended
  // at one of its keys too.
  bool IsSuspect(const std::vector<ContentKey>& keys) const;
  // Whether a request must not be sent to an endpoint.
  bool IsBlocked(const std::vector<ContentKey>& keys) const;
  // Decides about a request that is about to be sent, and records a trial that it allows.
  ContentAdmission Admit(const std::vector<ContentKey>& keys);

  // Sets whether this entry is the one that sends trials for all entries that it knows.
  void SetTrialOwner(bool is_owner) { m_is_trial_owner = is_owner; }

  // Returns what other entries need to know, blocked keys first.
  std::vector<ContentReport> GetReports() const;
  void ApplyReports(const std::vector<ContentReport>& reports);

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
    // Last answer with the key that began at any entry, and the last request with it.
    TimePoint used_at;
  };

  State* FindOrAdd(const ContentKey& key, bool is_blocked);
  void AddCrash(const ContentKey& key, State& state, const Crash& crash);
  void Block(const ContentKey& key, State& state, bool is_from_peer);
  void Clear(const ContentKey& key, State& state, TimePoint answered_at, bool is_from_peer);
  void ApplyReport(const ContentReport& report);
  void KeepCommon(State& state, const std::vector<ContentKey>& others);
  static const Crash& GetFirstCrash(const State& state);
  static int GetWeight(const State& state);
  static bool HasProof(const State& state);
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
  std::vector<Change> m_changes;
  bool m_has_news = false;
  bool m_is_trial_owner = false;
};

}  // namespace plantain

#endif  // PLANTAIN_CRASH_QUARANTINE_H_

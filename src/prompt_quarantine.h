// Finds prompt parts at which endpoints crash, and decides which requests must not be sent because of them. No I/O.

#ifndef PLANTAIN_PROMPT_QUARANTINE_H_
#define PLANTAIN_PROMPT_QUARANTINE_H_

#include <map>
#include <optional>
#include <vector>

#include "clock.h"
#include "prompt_type.h"

namespace plantain {

// Result of a check of a request's prompt.
enum class PromptAdmission {
  kAllowed,
  // Allowed to find out whether a blocked part still ends endpoints.
  kTrial,
  kBlocked,
};

// Load pattern: requests that share one part arrive at every entry, and each one ends the endpoint that begins to
// answer it. A part is blocked after the ends of four runs of endpoints, counted over all entries. Evidence for a part
// is an endpoint that ends before the answer's first event; if not even the answer's header had come, the end counts
// half, because the endpoint may have been at work on other requests. An answer that begins is proof against it.
// Endpoints that fail together, for example in a power failure, end requests that were all sent before the first end;
// so some of the requests must have been sent after it. Parts that always occurred together are blocked only together,
// because either may be the cause.
//
// All entries exchange their evidence and answers. Used on one traffic loop.
class PromptQuarantine {
 public:
  explicit PromptQuarantine(const Clock& clock) : m_clock(clock) {}

  // Records that an endpoint's run ended before the first event of the answer to a request sent at `sent_at`. `parts`
  // are the parts of its prompt that other requests may share, `has_header` tells whether the answer's header had come.
  void OnCrash(const std::vector<PromptPartId>& parts, EndpointRun run, TimePoint sent_at, bool has_header);
  // Records that the answer to a request with these parts has begun.
  void OnAnswered(const std::vector<PromptPartId>& parts);

  // Whether a request that was at an endpoint when it ended is not worth a second endpoint: other endpoints have ended
  // at a part of its prompt too.
  bool IsSuspect(const std::vector<PromptPartId>& parts) const;
  // Whether a request must not be sent to an endpoint.
  bool IsBlocked(const std::vector<PromptPartId>& parts) const;
  // Decides about a request that is about to be sent, and records a trial that it allows.
  PromptAdmission Admit(const std::vector<PromptPartId>& parts);

  // Sets whether this entry is the one that sends trials for all entries that it knows.
  void SetTrialOwner(bool is_owner) { m_is_trial_owner = is_owner; }

  // Returns what other entries need to know, blocked parts first.
  std::vector<PromptPartReport> GetReports() const;
  void ApplyReports(const std::vector<PromptPartReport>& reports);

  // Parts whose state has changed since the last call, for the log. `crashes` counts runs of endpoints.
  struct Change {
    PromptPartId part;
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
    std::vector<PromptPartId> companions;
    bool is_blocked = false;
    // First of the ends that the block rests on, and the last end.
    TimePoint first_crash_at;
    TimePoint last_crash_at;
    uint32_t trials = 0;
    std::optional<TimePoint> trial_at;
    std::optional<TimePoint> answered_at;
    // Last answer with the part that began at any entry, and the last request with it.
    TimePoint used_at;
  };

  State* FindOrAdd(const PromptPartId& part, bool is_blocked);
  void AddCrash(const PromptPartId& part, State& state, const Crash& crash);
  void Block(const PromptPartId& part, State& state, bool is_from_peer);
  void Clear(const PromptPartId& part, State& state, TimePoint answered_at, bool is_from_peer);
  void ApplyReport(const PromptPartReport& report);
  void KeepCommon(State& state, const std::vector<PromptPartId>& others);
  static const Crash& GetFirstCrash(const State& state);
  static int GetWeight(const State& state);
  static bool HasProof(const State& state);
  bool IsTrialDue(const State& state) const;
  // Returns the time of the last answer with a part that began here, or nothing if none is remembered.
  std::optional<TimePoint> GetLastAnswer(const PromptPartId& part) const;
  bool Matches(const PromptPartId& part, const State& state, const std::vector<PromptPartId>& parts) const;
  bool IsUnused(const State& state) const;
  void RemoveUnused();

  const Clock& m_clock;
  std::map<PromptPartId, State> m_parts;
  // Last answers that began here, by part.
  std::map<PromptPartId, TimePoint> m_answered;
  std::vector<Change> m_changes;
  bool m_has_news = false;
  bool m_is_trial_owner = false;
};

}  // namespace plantain

#endif  // PLANTAIN_PROMPT_QUARANTINE_H_

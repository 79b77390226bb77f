// At-most-once execution of calls: claims keys in the log, decides which process runs a call, and answers callers.

#ifndef PLANTAIN_ONCE_CORE_H_
#define PLANTAIN_ONCE_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "claim_table.h"
#include "clock.h"
#include "log_type.h"
#include "once_batcher.h"
#include "once_type.h"
#include "random.h"

namespace plantain {

// Operations that OnceCore requests from its owner.
class OnceHost {
 public:
  virtual ~OnceHost() = default;

  // Appends a record to the stream; the result goes to OnAppended.
  virtual void Append(uint64_t id, const std::string& record) = 0;

  // Sends a call to the service once; the result goes to OnRunDone.
  virtual void Run(const ClaimId& claim, const OnceCall& call) = 0;
};

struct OnceOptions {
  VmId vm;
  Incarnation incarnation;
  // Maximum calls in progress at this agent.
  size_t max_pending = 4096;
  size_t max_outcome_bytes = 32 * 1024 * 1024;
  // Time without a successful read of the log after which new calls are refused.
  Duration max_read_age = std::chrono::seconds(2);
  // Age of an unacknowledged append after which new calls are refused.
  Duration max_append_age = std::chrono::seconds(1);
  // Maximum time that a caller waits until the log shows which claim holds the key, or for the outcome of another
  // process's claim.
  Duration max_caller_wait = std::chrono::seconds(3);
  // A claim older than this is never run. Otherwise a process that was paused for a long time could run a call whose
  // claim has expired from the log. Must be far below the log's retention time.
  Duration max_claim_age = std::chrono::seconds(60);
};

struct OnceCounters {
  uint64_t claims = 0;
  uint64_t appends = 0;
  uint64_t runs = 0;
  uint64_t outcomes = 0;
  uint64_t unknown = 0;
  uint64_t replayed = 0;
  uint64_t refused_log = 0;
};

// Does no I/O. Not thread-safe.
//
// A call is run only by the process and incarnation that made its claim, and only after reading this claim from the log
// as the first one of its key. An attempt is reported as not run only if this process will never run its claim.
class OnceCore {
 public:
  OnceCore(const Clock& clock, Random& random, OnceHost& host, OnceOptions options);

  // Accepts a call. `on_answer` is called exactly once, possibly before Submit returns.
  void Submit(OnceCall call, OnAnswer on_answer);

  // Sends appends that are due and answers callers whose wait has timed out. Call once per batch period.
  void Tick();

  void OnAppended(uint64_t id, const absl::Status& status);

  // Processes the result of a read that began at `from`. Ignores the batch unless `from` is where the last one ended.
  void OnRead(LogOffset from, const LogBatch& batch);
  void OnReadFailed();

  void OnRunDone(const ClaimId& claim, const RunResult& result);

  // Offset at which the next read begins.
  LogOffset GetReadFrom() const { return m_read_from; }

  // Whether all retained records of the log have been read.
  bool IsCaughtUp() const { return m_is_caught_up; }

  // Whether new calls are accepted.
  bool IsLogUsable() const;

  // Whether no call is in progress and all outcomes are in the log.
  bool IsIdle() const;

  const OnceCounters& GetCounters() const { return m_counters; }
  size_t GetPendingCount() const { return m_local_claims.size(); }
  size_t GetKeyCount() const { return m_claim_table.GetSize(); }

 private:
  enum class ClaimState {
    // The claim is being appended or was appended, but has not been read from the log yet.
    kPending,
    // Read from the log as the first claim of its key; may be sent to the service.
    kConfirmed,
    kRunning,
  };

  struct WaitingCaller {
    TimePoint deadline;
    // The caller is answered at this time even if its deadline is later, unless its call is running.
    TimePoint wait_deadline;
    OnAnswer on_answer;
  };

  struct LocalClaim {
    OnceCall call;
    ClaimState state = ClaimState::kPending;
    TimePoint created;
    // Time of the next try after the service could not be reached.
    TimePoint run_at;
    std::vector<WaitingCaller> callers;
  };

  void JoinClaim(LocalClaim& local_claim, const OnceCall& call, OnAnswer on_answer);
  void AnswerFromTable(const ClaimTable::Entry& entry, const OnceCall& call, OnAnswer on_answer);
  void MakeClaim(OnceCall call, OnAnswer on_answer);
  WaitingCaller MakeWaitingCaller(const OnceCall& call, OnAnswer on_answer) const;

  void ApplyRecord(const LogRecord& record);
  void ApplyClaim(LogOffset offset, const proto::Claim& claim);
  void ApplyOutcome(const proto::Outcome& outcome);
  void OnLocalClaimRead(const OnceKey& key, const ClaimId& claim);
  void HandleLogGap(LogOffset first_kept);

  void RunConfirmed();
  void AnswerTimedOutCallers();
  void AnswerTimedOutLocal(const ClaimId& id, LocalClaim& local_claim);
  void AnswerTimedOutRemote();
  void FinishClaim(const ClaimId& claim, const OnceAnswer& answer);

  OnceAnswer MakeRefusal(proto::RefusalReason reason, bool not_run);
  OnceAnswer MakeUnknownAnswer();
  Duration GetRetryAfter();
  ClaimId MakeClaimId();
  bool IsOwnVm(const ClaimId& claim) const;

  const Clock& m_clock;
  Random& m_random;
  OnceHost& m_host;
  const OnceOptions m_options;
  const std::string m_writer;
  ClaimTable m_claim_table;
  OnceBatcher m_batcher;
  std::unordered_map<ClaimId, LocalClaim> m_local_claims;
  std::unordered_map<OnceKey, ClaimId> m_local_claims_by_key;
  // Callers that wait for the outcome of a claim made by another process.
  std::unordered_map<OnceKey, std::vector<WaitingCaller>> m_remote_waiters;
  uint64_t m_next_claim = 1;
  LogOffset m_read_from;
  bool m_is_caught_up = false;
  bool m_is_log_reachable = false;
  TimePoint m_last_read;
  OnceCounters m_counters;
};

}  // namespace plantain

#endif  // PLANTAIN_ONCE_CORE_H_

// Batches claims and outcomes into log appends and retries each append until it is known to be in the log.

#ifndef PLANTAIN_ONCE_BATCHER_H_
#define PLANTAIN_ONCE_BATCHER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "clock.h"
#include "once_type.h"
#include "random.h"
#include "record.pb.h"

namespace plantain {

// One append to send. A retry has the same id and the same bytes, except for claims abandoned since the first try.
struct OnceAppend {
  uint64_t id = 0;
  std::string record;
};

// Decides when each append is sent. Does no I/O. Not thread-safe.
class OnceBatcher {
 public:
  // `writer` identifies this process and its incarnation; it prefixes the writer id of each batch.
  OnceBatcher(const Clock& clock, Random& random, std::string writer);

  void AddClaim(proto::Claim claim);
  void AddOutcome(proto::Outcome outcome);

  // Withdraws a claim that is certainly not in the log. Returns false if it may be in the log.
  bool RemoveClaim(const ClaimId& claim);

  // Returns the appends to send now: retries that are due and at most one new append.
  std::vector<OnceAppend> CollectDueAppends();

  // Processes the result of an append. If the log is unavailable, returns the claims that are certainly not in the
  // log; these are not retried. If the log only limits its append rate, the claims are retried.
  std::vector<ClaimId> OnAppended(uint64_t id, const absl::Status& status);

  // Stops retrying the append with this writer id, since its record was read from the log.
  void OnRead(const std::string& writer);

  // Time since the first send of the oldest append that is not known to be in the log.
  Duration GetOldestAppendAge() const;

  // Whether all claims and outcomes added are known to be in the log.
  bool IsEmpty() const { return m_pending_claims.empty() && m_pending_outcomes.empty() && m_sent.empty(); }

 private:
  struct SentAppend {
    proto::OnceBatch batch;
    TimePoint first_sent;
    // Time of the next retry; unset while a response is pending.
    std::optional<TimePoint> retry_at;
    int failures = 0;
    // Whether at least one of the sends may have reached the log.
    bool is_possibly_in_log = false;
  };

  std::optional<OnceAppend> MakeNextAppend();
  Duration GetBackoff(int failures);
  std::vector<ClaimId> AbandonClaims(SentAppend& sent);

  const Clock& m_clock;
  Random& m_random;
  const std::string m_writer;
  std::map<std::string, proto::Claim> m_pending_claims;
  std::vector<proto::Outcome> m_pending_outcomes;
  std::map<uint64_t, SentAppend> m_sent;
  uint64_t m_next_id = 1;
};

}  // namespace plantain

#endif  // PLANTAIN_ONCE_BATCHER_H_

// Counters and latencies of a load run, and their JSON report.

#ifndef PLANTAIN_LOAD_REPORT_H_
#define PLANTAIN_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "latency_histogram.h"
#include "load_ledger.h"
#include "load_plan.h"

namespace plantain::standin {

// Final outcome of a logical request, after all client retries.
enum class LoadOutcome { kAnswered, kRefused, kFailed, kWrong, kMixed, kTruncated };

// Result of one logical request.
struct LoadResult {
  LoadOutcome outcome = LoadOutcome::kFailed;
  // Type of the refusal or failure.
  std::string type;
  // Whether the last attempt is known not to have been executed.
  bool is_not_run = false;
  // Whether all attempts are known not to have been executed.
  bool is_never_run = false;
  uint32_t tokens = 0;
  Duration first_token{};
  Duration total{};
};

struct LoadCounts {
  uint64_t sent = 0;
  uint64_t attempts = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t wrong = 0;
  uint64_t mixed = 0;
  uint64_t truncated = 0;
  uint64_t tokens = 0;

  void Merge(const LoadCounts& other);
  void CountOutcome(LoadOutcome outcome);
  nlohmann::json ToJson() const;
};

// Results of one thread, or of all threads after merging.
class LoadReport {
 public:
  explicit LoadReport(const LoadOptions& options);

  // `since_start` selects the timeline interval.
  void AddSent(const LoadRequest& request, Duration since_start);
  void AddAttempt(const LoadRequest& request);
  void AddTokenGap(Duration gap) { m_token_gap.Add(gap); }
  void AddResult(const LoadRequest& request, const LoadResult& result, Duration since_start);
  // Records the description of a failed or incorrect answer; the number kept is limited.
  void AddProblem(const LoadRequest& request, const std::string& detail);
  void AddSentLate(uint64_t count) { m_sent_late += count; }

  void Merge(const LoadReport& other);

  // Fetches the ledgers given in the options. Call once, after all merging.
  void CheckLedgers() { FetchLedgers(m_options.ledgers, m_ledger); }

  // `elapsed` is the time during which requests were sent; the rates are relative to it.
  nlohmann::json ToJson(Duration elapsed) const;

 private:
  struct Workspace {
    LoadCounts counts;
    LatencyHistogram first_token;
    LatencyHistogram total;
  };

  LoadCounts* GetInterval(Duration since_start);
  static nlohmann::json MakeQuantiles(const LatencyHistogram& histogram);

  const LoadOptions& m_options;
  LoadCounts m_counts;
  std::vector<Workspace> m_workspaces;
  std::map<std::string, uint64_t> m_refused_types;
  std::map<std::string, uint64_t> m_failed_types;
  uint64_t m_refused_not_run = 0;
  uint64_t m_sent_late = 0;
  LatencyHistogram m_first_token;
  LatencyHistogram m_token_gap;
  LatencyHistogram m_total;
  std::vector<LoadCounts> m_timeline;
  std::vector<std::string> m_problems;
  LedgerCheck m_ledger;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_LOAD_REPORT_H_

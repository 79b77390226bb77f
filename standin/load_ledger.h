// Compares the outcomes that clients received with the executions that services and engines recorded.

#ifndef PLANTAIN_LOAD_LEDGER_H_
#define PLANTAIN_LOAD_LEDGER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "http_type.h"
#include "load_plan.h"

namespace plantain::standin {

// Outcome of a request from the client's point of view, after all retries.
enum class ClientOutcome {
  // A complete and correct answer.
  kAnswered,
  // Every attempt was answered "not run" or could not be sent.
  kNotRun,
  // At least one attempt may have been executed, but no correct answer arrived.
  kUnknown,
};

// Returns the key under which ledgers count a request.
std::string GetLedgerKey(const LoadRequest& request);

// Collects client outcomes and execution counts, and counts the contradictions between them.
class LedgerCheck {
 public:
  void AddRequest(const LoadRequest& request, ClientOutcome outcome);
  void Merge(const LedgerCheck& other);

  // Adds the execution counts of one `GET /ledger` answer. Returns false if the body is not a ledger.
  bool AddLedger(const std::string& body);
  void AddUnreadable() { ++m_ledgers_unreadable; }

  // Returns the contradictions as request counts: `not_run_but_run`, `repeated` (at-most-once calls that were executed
  // more than once) and `answered_but_not_run` (meaningful only if all ledgers could be read).
  nlohmann::json ToJson() const;

 private:
  struct CheckedRequest {
    std::string key;
    bool is_at_most_once;
    bool is_service;
    ClientOutcome outcome;
  };

  std::vector<CheckedRequest> m_requests;
  std::unordered_map<std::string, uint64_t> m_execution_counts;
  uint64_t m_ledgers_read = 0;
  uint64_t m_ledgers_unreadable = 0;
};

// Fetches the ledgers of all targets and adds them to `check`. Blocks until every target has answered or failed.
void FetchLedgers(const std::vector<HttpTarget>& targets, LedgerCheck& check);

}  // namespace plantain::standin

#endif  // PLANTAIN_LOAD_LEDGER_H_

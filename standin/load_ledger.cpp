#include "load_ledger.h"

#include "http_client.h"
#include "token_text.h"

namespace plantain::standin {
namespace {

constexpr size_t kMaxExamples = 5;
constexpr size_t kMaxLedgerBytes = 64 * 1024 * 1024;

}  // namespace

std::string GetLedgerKey(const LoadRequest& request) {
  return request.is_service ? request.id : MakePrefixName(request.prompt, request.prompt.size());
}

void LedgerCheck::AddRequest(const LoadRequest& request, ClientOutcome outcome) {
  const bool is_at_most_once = request.is_service && !request.call.is_repeatable;
  // Repeatable requests may run any number of times, so only a "not run" outcome can be contradicted.
  if (!is_at_most_once && outcome != ClientOutcome::kNotRun) return;
  m_requests.push_back({GetLedgerKey(request), is_at_most_once, request.is_service, outcome});
}

void LedgerCheck::Merge(const LedgerCheck& other) {
  m_requests.insert(m_requests.end(), other.m_requests.begin(), other.m_requests.end());
}

bool LedgerCheck::AddLedger(const std::string& body) {
  const nlohmann::json ledger = nlohmann::json::parse(body, nullptr, false);
  if (!ledger.is_object() || !ledger.contains("calls") || !ledger["calls"].is_array()) return false;
  for (const nlohmann::json& call : ledger["calls"]) {
    m_execution_counts[call.value("key", "")] += call.value("count", uint64_t{0});
  }
  ++m_ledgers_read;
  return true;
}

nlohmann::json LedgerCheck::ToJson() const {
  uint64_t not_run_but_run = 0;
  uint64_t repeated = 0;
  uint64_t answered_but_not_run = 0;
  nlohmann::json examples = nlohmann::json::array();
  for (const CheckedRequest& request : m_requests) {
    const auto found = m_execution_counts.find(request.key);
    const uint64_t count = found == m_execution_counts.end() ? 0 : found->second;
    const bool is_false_refusal = request.outcome == ClientOutcome::kNotRun && count > 0;
    const bool is_repeated = request.is_at_most_once && count > 1;
    const bool is_missing = request.is_at_most_once && request.outcome == ClientOutcome::kAnswered && count == 0;
    not_run_but_run += is_false_refusal;
    repeated += is_repeated;
    answered_but_not_run += is_missing;
    const bool is_contradiction = is_false_refusal || is_repeated || is_missing;
    if (is_contradiction && examples.size() < kMaxExamples) examples.push_back(request.key);
  }
  return {{"read", m_ledgers_read},         {"unreadable", m_ledgers_unreadable},
          {"checked", m_requests.size()},   {"not_run_but_run", not_run_but_run},
          {"repeated", repeated},           {"answered_but_not_run", answered_but_not_run},
          {"examples", std::move(examples)}};
}

void FetchLedgers(const std::vector<HttpTarget>& targets, LedgerCheck& check) {
  MemoryBudget answer_memory(Bytes(2 * kMaxLedgerBytes * targets.size()));
  Loop loop;
  HttpClient client(loop, answer_memory);
  size_t pending = targets.size();
  if (pending == 0) return;
  for (const HttpTarget& target : targets) {
    client.Fetch(target, HttpRequest{"GET", "/ledger", {}, ""}, HttpCallOptions(kMaxLedgerBytes),
                 [&](const absl::StatusOr<HttpResponse>& response) {
                   const bool is_read = response.ok() && response->status == 200 && check.AddLedger(response->body);
                   if (!is_read) check.AddUnreadable();
                   if (--pending == 0) loop.Stop();
                 });
  }
  loop.Run();
}

}  // namespace plantain::standin

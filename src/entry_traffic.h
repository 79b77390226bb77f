// Request path of one traffic loop: admission control, joining of callers' retries, execution and metrics.

#ifndef PLANTAIN_ENTRY_TRAFFIC_H_
#define PLANTAIN_ENTRY_TRAFFIC_H_

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "attempt_client.h"
#include "entry_metrics.h"
#include "entry_parse.h"
#include "event_log.h"
#include "fair_share.h"
#include "http_drain.h"
#include "http_server.h"
#include "join_table.h"
#include "request_execution.h"
#include "retry_budget.h"
#include "retry_policy.h"
#include "route_choose.h"
#include "slo_counter.h"
#include "workspace_limit.h"

namespace plantain {

struct TrafficOptions {
  RouteOptions route;
  RetryOptions retry;
  AttemptOptions attempt;
  JoinOptions join;
  ParseOptions parse;
  // Retries and resumptions have separate budgets. Each earns this share of the first attempts and saves up at most its
  // reserve.
  double retry_share = 0.1;
  double retry_reserve = 10;
  double resume_reserve = 100;
  // Unsent output at which a caller's stream is aborted.
  size_t max_unsent_bytes = 4 * 1024 * 1024;
  // Zone of this entry.
  ZoneName zone;
  // Number of traffic loops per entry. Workspace limits and endpoint capacity are divided among the loops of all
  // entries.
  size_t loops = 1;
};

// Parses, admits and runs requests. Does no I/O itself. Used on one traffic loop.
class EntryTraffic : public DrainableRequests, private RequestObserver, private AttemptObserver {
 public:
  EntryTraffic(const Clock& clock, Random& random, AttemptTransport& transport, Metrics& metrics,
               RequestHistory& history, SloCounter& slo, TrafficOptions options);
  ~EntryTraffic() override;
  EntryTraffic(const EntryTraffic&) = delete;
  EntryTraffic& operator=(const EntryTraffic&) = delete;

  // Replaces the routing table. Attempts in progress are not affected.
  void SetTable(std::shared_ptr<const RouteTable> table);

  // Handles an HTTP request; the response may be sent after this call returns.
  void HandleHttp(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);

  // Handles a message received from an agent.
  void HandleMessage(const VmId& from, std::string_view message) { m_attempt_client.HandleMessage(from, message); }

  // Fails the attempts in progress at a VM that was removed or has restarted.
  void HandleEndpointGone(const VmId& vm) { m_attempt_client.HandleEndpointGone(vm); }

  // Sends the repeatable requests in progress at a VM that is suspected to be down to other endpoints too, as far as
  // the retry budget allows it.
  void HandleEndpointSuspect(const VmId& vm) { m_attempt_client.HandleEndpointSuspect(vm); }

  // Runs due timeouts, retries and deadlines. Call every few milliseconds.
  void CheckDue();

  // New requests are refused from `refuse_from` on. Requests in progress continue, and callers' retries can still join
  // them.
  void BeginDrain(TimePoint refuse_from, TimePoint end) override;
  void GiveUp() override;

  // Returns the number of requests in progress, including those whose callers have disconnected.
  size_t GetInFlight() const override { return m_runs.size(); }

 private:
  // A request in progress, with the timestamps needed for latency metrics.
  struct ActiveRun {
    std::unique_ptr<RequestExecution> run;
    TimePoint started_at;
    TimePoint last_token_at;
  };

  // Lowest recent latency of the first token, or of the answer of a plain service.
  struct LatencyEstimate {
    Duration time{};
    TimePoint updated_at;
  };

  void HandleRequest(EntryRequest request, const std::shared_ptr<HttpResponder>& responder);
  bool TryJoin(const EntryRequest& request, const std::shared_ptr<HttpResponder>& responder);
  AdmitResult Admit(const EntryRequest& request);
  void StartRun(EntryRequest request, const std::shared_ptr<HttpResponder>& responder);
  void AttachCaller(const std::shared_ptr<SharedAnswer>& answer, const EntryRequest& request,
                    const std::shared_ptr<HttpResponder>& responder);
  void DetachCaller(const std::weak_ptr<SharedAnswer>& weak_answer, const AnswerSink* sink);
  void Refuse(const EntryRequest& request, const AdmitResult& result, HttpResponder& responder);
  void UpdateCapacity(const RouteKey& key, FairShare& share);
  FairShare& GetFairShare(const RouteKey& key);
  Duration GetExpectedLatency(const RouteKey& key) const;
  void UpdateExpectedLatency(const RouteKey& key, Duration time);
  SloContext MakeSloContext(const RequestExecution& run) const;
  void CountOutcome(const EntryRequest& request, const SloContext& context, EntryFailure outcome);
  void RecordEvent(const EntryRequest& request, std::string_view event, std::initializer_list<EventField> fields);

  void OnAttempt(const RequestExecution& run, AttemptId attempt, const VmId& vm, uint32_t number) override;
  void OnAttemptFailed(const RequestExecution& run, AttemptId attempt, const VmId& vm, std::string_view reason,
                       bool is_not_run) override;
  void OnToken(const RequestExecution& run, const Digest& manifest) override;
  void OnOverload(const RequestExecution& run) override;
  void OnFinished(const RequestExecution& run, const EntryError* error) override;

  void OnDropped(MessageDropReason fault) override { m_metrics.CountDropped(fault); }
  void OnLoad(const VmId& vm, const LoadReport& load) override { m_chooser.OnLoad(vm, load); }
  void OnLeaving(const VmId& vm) override { m_chooser.OnLeaving(vm); }

  const Clock& m_clock;
  Random& m_random;
  RequestHistory& m_history;
  SloCounter& m_slo;
  const TrafficOptions m_options;
  EntryMetrics m_metrics;
  RouteChooser m_chooser;
  RetryBudget m_retry_budget;
  RetryBudget m_resume_budget;
  RetryPolicy m_retry_policy;
  RetryPolicy m_resume_policy;
  AttemptClient m_attempt_client;
  JoinTable m_joins;
  WorkspaceLimits m_limits;
  std::map<RouteKey, FairShare> m_fair_shares;
  std::map<RouteKey, LatencyEstimate> m_latency_estimates;
  std::shared_ptr<const RouteTable> m_table;
  RequestDeps m_run_parts;
  // Requests in progress, keyed by the answer that they produce.
  std::unordered_map<const SharedAnswer*, ActiveRun> m_runs;
  // Finished runs, destroyed by the next CheckDue because they may still be on the call stack.
  std::vector<std::unique_ptr<RequestExecution>> m_finished;
  // Unset unless the process stops.
  std::optional<TimePoint> m_refuse_from;
};

}  // namespace plantain

#endif  // PLANTAIN_ENTRY_TRAFFIC_H_

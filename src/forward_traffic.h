// Forwarding path of one traffic loop: matches requests to routes, queues them and sends them to endpoints.

#ifndef PLANTAIN_FORWARD_TRAFFIC_H_
#define PLANTAIN_FORWARD_TRAFFIC_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "active_request.h"
#include "clock.h"
#include "crash_quarantine.h"
#include "endpoint_balancer.h"
#include "event_rate.h"
#include "first_event_delay.h"
#include "forward_metrics.h"
#include "forward_type.h"
#include "http_drain.h"
#include "http_server.h"
#include "random.h"
#include "request_queue.h"
#include "retry_budget.h"
#include "route_match.h"
#include "spare_capacity.h"

namespace plantain {

struct ForwardOptions {
  BalancerOptions balancer;
  // Limit on retries over all entries: a fraction of the first attempts plus a fixed number.
  double retry_share = 0.2;
  double retry_slack = 0;
  // Time after which no request may start on a weight version that has been superseded.
  Duration version_change_limit = std::chrono::seconds(8);
};

// Accepts requests and schedules their attempts. Does no I/O itself. Not thread-safe; used on one traffic loop.
class ForwardTraffic : public DrainableRequests, private ActiveRequestHost, private RunningAttempts {
 public:
  ForwardTraffic(const Clock& clock, Random& random, const CallerProtocol& protocol, AttemptSender& sender,
                 MemoryBudget& answer_memory, ForwardMetrics& metrics, ForwardOptions options);
  ~ForwardTraffic() override;
  ForwardTraffic(const ForwardTraffic&) = delete;
  ForwardTraffic& operator=(const ForwardTraffic&) = delete;

  void SetFleet(const std::shared_ptr<const FleetView>& fleet);
  // Sets what is known of all entries, including this one.
  void SetEntries(EntryView view);
  // Exchange what endpoints state, and grants.
  StatementReport GetStatementReport() { return m_balancer.GetStatements().GetReport(); }
  void ApplyStatementReport(const VmId& from, const StatementReport& report) {
    m_balancer.GetStatements().ApplyReport(from, report);
  }
  // Exchange counts of slow starts, and the speed of endpoints.
  PaceReport GetPaceReport() { return m_balancer.GetPaceReport(); }
  void ApplyPaceReport(const VmId& from, const PaceReport& report) { m_balancer.ApplyPaceReport(from, report); }
  // Exchange what entries know about contents at which endpoints crash.
  std::vector<ContentReport> GetContentReports() const { return m_quarantine.GetReports(); }
  void ApplyContentReports(const VmId& from, const std::vector<ContentReport>& reports) {
    m_quarantine.ApplyReports(from, reports);
  }
  // Returns whether other entries should get the reports at once, and resets this.
  bool TakeHasNews();
  // Calls `listener` when an endpoint has ended at some content, so that other entries hear of it before the caller's
  // repeat reaches them.
  void SetCrashListener(std::function<void()> listener) { m_on_crash = std::move(listener); }
  void OnLoad(const std::vector<EndpointLoad>& loads);

  void HandleHttp(HttpRequest http, const std::shared_ptr<HttpResponder>& responder);

  // Handles expired timeouts and dispatches queued requests. Must be called every few milliseconds.
  void CheckDue();

  // From `refuse_from` on, requests are refused unless their deadline is before `end`.
  void BeginDrain(TimePoint refuse_from, TimePoint end) override;
  // Refuses queued requests as not run. The outcome of requests that were sent is unknown.
  void GiveUp() override;

  size_t GetInFlight() const override { return m_active_requests.size(); }

  // Logs each request that has no final answer yet. Called when the process ends.
  void LogUnfinished() const;

  // Returns the recent request rate for each pool, in requests/s.
  std::map<PoolName, double> GetDemand() const;
  // Returns the same by priority, of the pools that share their slots by priority.
  std::map<PoolName, PriorityDemand> GetPriorityDemand() const;

 private:
  // Averaging window of the request rate. Longer than the gaps between requests of an entry with little traffic.
  static constexpr Duration kDemandWindow = std::chrono::seconds(2);

  struct PoolState {
    // Returns the priority as far as it matters in this pool.
    uint32_t GetLevel(uint32_t priority) const { return has_priorities ? priority : 0; }

    // Whether its requests differ in priority, so that `wait_queue` orders by it.
    bool has_priorities = false;
    std::unique_ptr<RequestQueue> wait_queue;
    std::unique_ptr<RetryBudget> budget;
    EventRate demand{kDemandWindow};
    std::map<uint32_t, EventRate> priority_demand;
    // Waiting requests by priority, as last exported; empty in pools that never had priorities.
    std::map<uint32_t, size_t> waiting;
    FirstEventDelay first_event_delay;
    SpareCapacity spare_capacity;
  };

  void Refuse(const ForwardRequest& request, const std::shared_ptr<HttpResponder>& responder, ForwardFailure failure,
              std::string_view reason);
  bool ExceedsDrainDeadline(const ForwardRequest& request, const RouteRule& rule) const;
  void StartRequest(ForwardRequest request, const RouteMatch& match, const std::shared_ptr<HttpResponder>& responder);
  void Enqueue(ActiveRequest& active);
  void RefuseTickets(const std::vector<WaitTicket>& tickets, PriorityEvent event);
  // Refuses queued requests that no endpoint may run any more.
  void RefuseUnservable();
  bool HasMissedGoal(const ActiveRequest& active) const;
  // Whether the answer can no longer begin within its latency target. Events of an interrupted stream are never late.
  bool IsLate(const ActiveRequest& active) const;
  WaitingRequest MakeLateEntry(WaitingRequest entry, const ActiveRequest& active) const;
  Duration GetMaxWait(const ActiveRequest& active);
  // Returns how long after its arrival a request may be sent and still be answered in time.
  Duration GetMaxTimelyWait(const ActiveRequest& active);
  bool HasWaitedTooLong(const ActiveRequest& active);
  bool CanServeInTime(const WaitingRequest& entry, const PoolName& pool);
  // Returns the oldest version of a model that may start a request now, or nothing if every version may.
  std::optional<WeightVersion> GetMinVersion(const ModelName& model) const;
  std::map<ModelName, WeightVersion> GetMinVersions() const;
  EndpointQuery MakeQuery(const ActiveRequest& active) const;
  // Returns how many requests may be at an endpoint beyond its slots when this one is sent; unset without priorities.
  std::optional<uint32_t> GetOvercommit(const ActiveRequest& active) const;
  // Sends a request to an endpoint if one takes it; a late one only if other requests do not need the slot.
  bool TryDispatch(ActiveRequest& active, NoEndpointReason& why);
  bool MaySendLate(const PoolState& state, const EndpointQuery& query, const ActiveRequest& active) const;
  void RefuseQueued(ActiveRequest& active, ForwardFailure failure);
  std::vector<ContentKey> GetContentKeys(const ActiveRequest& active) const;
  bool EndangersEndpoints(const ActiveRequest& active) const;
  void RefuseBlocked(ActiveRequest& active);
  void ApplyContentChanges();
  void LogStatementChanges();
  void DispatchQueued(const PoolName& pool);
  PoolState& GetPool(const PoolName& pool);
  void SelectQueue(const PoolName& pool, PoolState& state);
  void CountWaiting(const PoolName& pool, PoolState& state);
  double GetRetryReserve() const;
  AttemptWeights MakeAttemptWeights(const EndpointQuery& query, const EndpointChoice& choice) const;
  Duration GetRetryAfter(const ActiveRequest& active);

  void OnPrefillDone(ActiveRequest& active, const EndpointId& endpoint) override;
  void OnResponseHead(const ActiveRequest& active, const ForwardAttempt& attempt) override;
  void OnAnswerBegun(ActiveRequest& active, const ForwardAttempt& attempt) override;
  void OnReceived(const ForwardAttempt& attempt) override;
  SilenceFinding OnSilent(const ActiveRequest& active, const ForwardAttempt& attempt) override;
  bool IsRepeatWorthwhile(const ActiveRequest& active) const override {
    return m_quarantine.IsEmpty() || !m_quarantine.IsSuspect(GetContentKeys(active));
  }
  void OnAttemptEnded(ActiveRequest& active, const ForwardAttempt& attempt, AttemptEnd end) override;
  Duration GetRunningTime(const ContentKey& key) const override;
  void RecordOutcome(const ActiveRequest& active, const ForwardAttempt& attempt, AttemptEnd end);
  void RecordCrash(const ActiveRequest& active, const ForwardAttempt& attempt);
  void RequestAttempt(ActiveRequest& active) override;
  void WithdrawHedge(ActiveRequest& active) override;
  bool TryAcquireRetry(ActiveRequest& active) override;
  void ReturnRetry(ActiveRequest& active) override { GetPool(active.GetPool()).budget->Return(); }
  Duration SuggestRetryAfter(ActiveRequest& active) override { return GetRetryAfter(active); }
  std::optional<TimePoint> GetAttemptLimit(const ActiveRequest& active, const EndpointId& endpoint,
                                           std::optional<WeightVersion> answered) const override;
  void OnRequestEnded(ActiveRequest& active) override;

  const Clock& m_clock;
  Random& m_random;
  const CallerProtocol& m_protocol;
  ForwardMetrics& m_metrics;
  const ForwardOptions m_options;
  LoopTime m_loop_time;
  ActiveRequestDeps m_request_deps;
  EndpointBalancer m_balancer;
  CrashQuarantine m_quarantine;
  std::function<void()> m_on_crash;
  bool m_has_statement_news = false;
  // Number of entries that share the retry budget.
  size_t m_entry_count = 1;
  std::shared_ptr<const FleetView> m_fleet;
  std::shared_ptr<const RouteMatcher> m_matcher;
  std::map<PoolName, PoolState> m_pools;
  std::unordered_map<WaitTicket, std::shared_ptr<ActiveRequest>> m_active_requests;
  // Ended requests, which are destroyed later because their methods may still be on the call stack.
  std::vector<std::shared_ptr<ActiveRequest>> m_ended_requests;
  WaitTicket m_next_ticket;
  std::optional<TimePoint> m_drain_deadline;
  TimePoint m_drain_refuse_at;
};

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_TRAFFIC_H_

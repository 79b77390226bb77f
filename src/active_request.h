// State machine of a forwarded request: sends attempts to endpoints until one yields a response or the request fails.

#ifndef PLANTAIN_ACTIVE_REQUEST_H_
#define PLANTAIN_ACTIVE_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "content_key.h"
#include "endpoint_balancer.h"
#include "forward_attempt.h"
#include "forward_type.h"
#include "http_client.h"
#include "http_server.h"
#include "loop_time.h"
#include "retry_policy.h"
#include "route_match.h"
#include "wait_queue.h"

namespace plantain {

// Sends HTTP requests of attempts to endpoints.
class AttemptSender {
 public:
  virtual ~AttemptSender() = default;

  virtual std::shared_ptr<HttpCall> Send(const HttpTarget& target, const HttpRequest& request, HttpCallOptions options,
                                         HttpCallbacks callbacks) = 0;
};

class ActiveRequest;

// Interface of the traffic loop that owns the forwarded requests.
class ActiveRequestHost {
 public:
  virtual ~ActiveRequestHost() = default;

  // Called once for each attempt when the endpoint has processed the prompt: at its first event, or at the attempt's
  // end if no event came.
  virtual void OnPrefillDone(ActiveRequest& active, const EndpointId& endpoint) = 0;
  // Called for the header of each response, once `attempt.head` is set.
  virtual void OnResponseHead(const ActiveRequest& active, const ForwardAttempt& attempt) = 0;
  // Called when an attempt's answer has begun: at the first event of a stream, or at the end of another answer.
  virtual void OnAnswerBegun(ActiveRequest& active, const ForwardAttempt& attempt) = 0;
  // Called when an endpoint has sent a part of its answer.
  virtual void OnReceived(const ForwardAttempt& attempt) = 0;
  // Called when an attempt has received nothing for too long, and again as long as its silence concerns the request
  // only. `attempt.silence` is the finding before.
  virtual SilenceFinding OnSilent(const ActiveRequest& active, const ForwardAttempt& attempt) = 0;
  virtual void OnAttemptEnded(ActiveRequest& active, const ForwardAttempt& attempt, AttemptEnd end) = 0;
  // Requests another attempt, which is a hedge if one still runs. The host calls StartAttempt or RefuseAttempt,
  // possibly within this call.
  virtual void RequestAttempt(ActiveRequest& active) = 0;
  // Called when the hedge that was requested is not needed any more. Gives its retry back.
  virtual void WithdrawHedge(ActiveRequest& active) = 0;
  // Whether a request that may have run at an endpoint that failed is worth another endpoint.
  virtual bool IsRepeatWorthwhile(const ActiveRequest& active) const = 0;
  // Takes one retry from the shared budget, which counts requests that arrive at endpoints. Returns false if the budget
  // is exhausted.
  virtual bool TryAcquireRetry(ActiveRequest& active) = 0;
  // Gives back a retry that was taken and not used.
  virtual void ReturnRetry(ActiveRequest& active) = 0;
  // Returns the Retry-After time for a caller whose request has not run.
  virtual Duration SuggestRetryAfter(ActiveRequest& active) = 0;
  // Returns the time from which an attempt at the endpoint must not start any more, or nothing if it always may.
  // `answered` is the weight version in the endpoint's response; if it is unset, the last reported version counts.
  virtual std::optional<TimePoint> GetAttemptLimit(const ActiveRequest& active, const EndpointId& endpoint,
                                                   std::optional<WeightVersion> answered) const = 0;
  // Called after the final response was sent. The host must not destroy the request within this call.
  virtual void OnRequestEnded(ActiveRequest& active) = 0;
};

struct ActiveRequestDeps {
  const Clock& clock;
  const CallerProtocol& protocol;
  AttemptSender& sender;
  ActiveRequestHost& host;
  // Time of the traffic loop, on which the silence of endpoints is measured.
  const LoopTime& loop_time;
  // Bounds what the answers of all requests hold together.
  MemoryBudget& answer_memory;
};

// Result of a forwarded request, for logs and metrics.
struct ActiveRequestOutcome {
  int status = 0;
  ForwardFailure failure = ForwardFailure::kNone;
  // Short description of the cause, for the log.
  std::string reason;
  uint32_t attempts = 0;
  // Number of attempts that may have been executed.
  uint32_t executions = 0;
  // The last attempt, or the one whose answer the caller got.
  AttemptChoice choice;
  Duration wait_time{};
  std::optional<Duration> first_event;
  Duration total{};
  uint64_t events = 0;
};

// Returns until when a request that arrives at `now` is answered: the caller's timeout, at most the route's.
TimePoint ComputeDeadline(const ForwardRequest& request, const RouteRule& rule, TimePoint now);

// One forwarded request and its attempts. Not thread-safe; used on one traffic loop.
//
// An attempt whose endpoint falls silent goes on, since a sound endpoint may stand still for a moment. If the request
// may be repeated, another attempt is started beside it (a hedge). The first of the two that answers is passed to the
// caller and the other one is cancelled; until then neither is, so that a hedge that cannot be had costs the caller
// nothing.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
 public:
  // `matcher` owns the routing document that `match` points into.
  ActiveRequest(ActiveRequestDeps& deps, ForwardRequest request, const RouteMatch& match,
                std::shared_ptr<const RouteMatcher> matcher, PoolName pool, WaitTicket ticket,
                std::shared_ptr<HttpResponder> responder);

  // Registers for the event that the caller closes its connection.
  void WatchForDisconnect();

  // Sends the request to an endpoint, beside a silent attempt if there is one.
  void StartAttempt(const EndpointChoice& choice, const AttemptWeights& weights);

  // Called by the host if it cannot start the attempt that was requested. Ends the request with the failure unless an
  // attempt still runs.
  void RefuseAttempt(ForwardFailure failure, std::string reason);

  // Ends the request and cancels its attempts. `if_not_run` is the failure if the request cannot have run.
  void GiveUp(ForwardFailure if_not_run, std::string reason);

  // Ends the attempts whose answer has not begun, and the request unless it may be sent again. Does nothing to a
  // request that must run once, because cancelling would not undo its effects.
  void WithdrawAttempts(const std::string& reason);

  // Handles the deadline and the inactivity timeout. Must be called regularly.
  void CheckDue(TimePoint now);

  // Returns the key of the whole request. It is computed when it is first needed.
  const ContentKey& GetRequestKey() const;
  bool IsEnded() const { return m_is_ended; }
  // Whether no attempt runs.
  bool IsWaiting() const { return m_running.empty() && !m_is_ended; }
  const ForwardRequest& GetRequest() const { return m_request; }
  bool IsStream() const { return m_match.rule->kind == RequestKind::kStream; }
  const RouteMatch& GetMatch() const { return m_match; }
  const RouteMatcher& GetMatcher() const { return *m_matcher; }
  const PoolName& GetPool() const { return m_pool; }
  WaitTicket GetTicket() const { return m_ticket; }
  TimePoint GetStart() const { return m_started_at; }
  // Returns the times from the send to the endpoint's last sign of life, summed over the running attempts.
  Duration GetRunningTime() const;
  TimePoint GetDeadline() const { return m_deadline; }
  // Returns the endpoints that were tried, which retries avoid.
  const std::vector<EndpointId>& GetTriedEndpoints() const { return m_tried_endpoints; }
  // Returns the weight version of the events that the caller has received. A resumed stream must use the same version.
  std::optional<WeightVersion> GetWeightVersion() const { return m_has_events ? m_weight_version : std::nullopt; }
  bool HasEvents() const { return m_has_events; }
  const ActiveRequestOutcome& GetOutcome() const { return m_outcome; }
  // Returns the model that the request runs on; empty if it needs no engine.
  const ModelName& GetModel() const { return m_model; }

 private:
  // Handlers of an attempt's response. The attempt may have ended when they return.
  void OnHead(ForwardAttempt& attempt, int status, const HttpHeaders& headers);
  void OnData(ForwardAttempt& attempt, std::string_view data);
  void OnEvents(ForwardAttempt& attempt, std::string events);
  void FinishAttempt(ForwardAttempt& attempt, const absl::Status& status);
  void FinishStream(ForwardAttempt& attempt);
  void DeliverResponse(ForwardAttempt& attempt);

  HttpCallbacks MakeCallbacks(AttemptNumber number);
  HttpRequest MakeRequest(const ForwardAttempt& attempt, const AttemptWeights& weights) const;
  HttpCallOptions MakeOptions(TimePoint now) const;
  ForwardAttempt* FindAttempt(AttemptNumber number);
  // Returns the numbers of the running attempts, for loops in which attempts may end.
  std::vector<AttemptNumber> GetRunning() const;

  void RecordReceived(ForwardAttempt& attempt);
  // Makes an attempt the only one, because its answer is the one that the caller gets.
  void SelectAnswer(ForwardAttempt& attempt);
  void CancelAttempt(ForwardAttempt& attempt, AttemptEnd end);
  void WithdrawAttempt(ForwardAttempt& attempt, const std::string& reason);
  void FailAttempt(ForwardAttempt& attempt, AttemptEnd end, std::string reason);
  void EndAttempt(ForwardAttempt& attempt, AttemptEnd end);
  void ReportPrefillDone(ForwardAttempt& attempt);

  // Whether another endpoint could go on with what the caller has. Without event IDs it would begin the stream anew.
  bool CanResume() const { return !m_has_events || m_last_event_id.has_value(); }
  // Whether the route allows one more run beside those that have ended or go on.
  bool HasRunLeft() const;
  bool HasAttemptLeft() const;
  void RetryOrFail(AttemptOutcome outcome, std::string reason);
  void FailWithoutRetry(bool may_have_run, std::string reason);
  // Ends a request of which no attempt runs with a failure. Never reports one that may have run as not run.
  void Fail(ForwardFailure failure, std::string reason);
  void FinishRequest(int status, ForwardFailure failure, std::string reason);
  void AbortCaller();
  void OnCallerDisconnected();

  Duration GetInactivityTimeout() const;
  // Whether nothing has come for longer than a sound endpoint takes.
  bool HasBeenSilent(const ForwardAttempt& attempt) const;
  // The same of an attempt that may get another one beside it.
  bool IsSilent(const ForwardAttempt& attempt) const;
  void CheckSilence(TimePoint now);
  void ReportSilence(ForwardAttempt& attempt);
  AttemptEnd ReportOverdue(ForwardAttempt& attempt);
  bool IsPastStartLimit(const ForwardAttempt& attempt, TimePoint now) const;

  ActiveRequestDeps& m_deps;
  const ForwardRequest m_request;
  const RouteMatch m_match;
  const std::shared_ptr<const RouteMatcher> m_matcher;
  const PoolName m_pool;
  const ModelName m_model;
  const WaitTicket m_ticket;
  const std::shared_ptr<HttpResponder> m_responder;
  const TimePoint m_started_at;
  const TimePoint m_deadline;

  // Attempts that run, in the order in which they were sent. Callbacks of ended attempts are recognised by their
  // numbers and ignored.
  std::vector<std::unique_ptr<ForwardAttempt>> m_running;
  AttemptNumber m_last_number;
  // When a hedge may be requested again after one that could not be had.
  TimePoint m_hedge_from;
  // Whether the host was asked for a hedge, for which a retry was taken, and has neither sent nor refused it.
  bool m_is_hedge_requested = false;

  std::vector<EndpointId> m_tried_endpoints;
  // Whether an attempt that has ended may have been executed.
  bool m_may_have_run = false;
  // Whether the response header of a stream has been sent to the caller.
  bool m_has_events = false;
  std::optional<uint64_t> m_last_event_id;
  std::optional<WeightVersion> m_weight_version;
  // Error response of an endpoint, which is forwarded if no further attempt succeeds.
  std::optional<HttpResponse> m_error_response;
  // Memory of that response, or of the part of a stream that the caller has not taken yet.
  MemoryReservation m_memory;
  bool m_is_ended = false;
  ActiveRequestOutcome m_outcome;
  mutable std::optional<ContentKey> m_request_key;
};

}  // namespace plantain

#endif  // PLANTAIN_ACTIVE_REQUEST_H_

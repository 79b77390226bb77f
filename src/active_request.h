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
#include "event_splitter.h"
#include "forward_type.h"
#include "http_client.h"
#include "http_server.h"
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

// How much of an answer an endpoint has sent.
enum class AnswerProgress {
  kNone,
  // The header, and possibly a part of the first event.
  kHeader,
  // A part of a body that is not a stream, or an event of a stream.
  kBegun,
};

// An attempt that has ended.
struct EndedAttempt {
  EndpointId endpoint;
  AttemptEnd end = AttemptEnd::kCancelled;
  AnswerProgress progress = AnswerProgress::kNone;
  TimePoint sent_at;
  Incarnation incarnation;
};

// Interface of the traffic loop that owns the forwarded requests.
class ActiveRequestHost {
 public:
  virtual ~ActiveRequestHost() = default;

  // Called once for each attempt when the endpoint has processed the prompt: at its first event, or at the attempt's
  // end if no event came.
  virtual void OnPrefillDone(ActiveRequest& active, const EndpointId& endpoint) = 0;
  // Called for the header of each response of the current attempt's endpoint.
  virtual void OnResponseHead(const ActiveRequest& active, const ResponseHead& head) = 0;
  // Called when an attempt's answer has begun: at the first event of a stream, or at the end of another answer.
  virtual void OnAnswerBegun(ActiveRequest& active) = 0;
  virtual void OnAttemptEnded(ActiveRequest& active, const EndedAttempt& attempt) = 0;
  // Requests another attempt. The host calls StartAttempt or Fail, possibly within this call.
  virtual void RequestAttempt(ActiveRequest& active) = 0;
  // Whether a request that may have run at an endpoint that failed is worth another endpoint.
  virtual bool IsRepeatWorthwhile(const ActiveRequest& active) const = 0;
  // Takes one retry from the shared budget, which counts requests that arrive at endpoints. Returns false if the budget
  // is exhausted.
  virtual bool TryAcquireRetry(ActiveRequest& active) = 0;
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
};

// Weight versions that apply to an attempt at an engine.
struct AttemptWeights {
  // Version that the endpoint serves according to its last report; unset for endpoints without weights.
  std::optional<WeightVersion> loaded;
  // Oldest version that may start a request; unset if every version may.
  std::optional<WeightVersion> min_version;
  // Time from which no request may start on `loaded`; unset if it is not superseded.
  std::optional<TimePoint> start_limit;
  // Whether the endpoint must refuse the attempt if it serves another version than `loaded`.
  bool is_exact = false;
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
  EndpointId endpoint;
  uint32_t load = 0;
  Duration load_age{};
  // Expected time to the first event, as estimated when the attempt was sent.
  Duration expected{};
  Duration wait_time{};
  // Weight versions of the last attempt, and the time that was left until the limit of its version when it was sent.
  std::optional<WeightVersion> version;
  std::optional<WeightVersion> min_version;
  std::optional<Duration> until_limit;
  std::optional<Duration> first_event;
  Duration total{};
  uint64_t events = 0;
};

// Returns until when a request that arrives at `now` is answered: the caller's timeout, at most the route's.
TimePoint ComputeDeadline(const ForwardRequest& request, const RouteRule& rule, TimePoint now);

// One forwarded request and its attempts. Not thread-safe; used on one traffic loop.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
 public:
  // `matcher` owns the routing document that `match` points into.
  ActiveRequest(ActiveRequestDeps& deps, ForwardRequest request, const RouteMatch& match,
                std::shared_ptr<const RouteMatcher> matcher, PoolName pool, WaitTicket ticket,
                std::shared_ptr<HttpResponder> responder);

  // Registers for the event that the caller closes its connection.
  void WatchForDisconnect();

  // Sends the request to an endpoint.
  void StartAttempt(const EndpointChoice& choice, const AttemptWeights& weights);

  // Ends the request with a failure. Never reports a request that may have run as not run.
  void Fail(ForwardFailure failure, std::string reason);

  // Ends the request and cancels its attempt. `if_not_run` is the failure if the request cannot have run.
  void GiveUp(ForwardFailure if_not_run, std::string reason);

  // Ends the current attempt if its answer has not begun, and the request unless it may be sent again. Does nothing to
  // a request that must run once, because cancelling would not undo its effects.
  void WithdrawAttempt(const std::string& reason);

  // Handles the deadline and the inactivity timeout. Must be called regularly.
  void CheckDue(TimePoint now);

  // Returns the key of the whole request. It is computed when it is first needed.
  const ContentKey& GetRequestKey() const;
  // Returns the endpoint of the last attempt, its incarnation, and when the attempt was sent.
  const EndpointId& GetEndpoint() const { return m_endpoint; }
  Incarnation GetEndpointIncarnation() const { return m_endpoint_incarnation; }
  TimePoint GetSentAt() const { return m_sent_at; }

  bool IsEnded() const { return m_is_ended; }
  bool IsWaiting() const { return m_call == nullptr && !m_is_ended; }
  const ForwardRequest& GetRequest() const { return m_request; }
  const RouteMatch& GetMatch() const { return m_match; }
  const RouteMatcher& GetMatcher() const { return *m_matcher; }
  const PoolName& GetPool() const { return m_pool; }
  WaitTicket GetTicket() const { return m_ticket; }
  TimePoint GetStart() const { return m_started_at; }
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
  void OnHead(int status, const HttpHeaders& headers);
  void OnData(std::string_view data);
  void OnDone(const absl::Status& status);
  void OnEvents(std::string events);
  void FinishAttempt(const absl::Status& status);
  void FinishStream();
  void DeliverResponse();
  void FailAttempt(AttemptEnd end, std::string reason);
  void EndAttempt(AttemptEnd end);
  void ReportPrefillDone();
  AnswerProgress GetProgress() const;
  void RetryOrFail(AttemptOutcome outcome, std::string reason);
  void FailWithoutRetry(bool may_have_run, std::string reason);
  void FinishRequest(int status, ForwardFailure failure, std::string reason);
  void AbortCaller();
  void OnCallerDisconnected();
  HttpCallOptions MakeOptions(TimePoint now) const;
  Duration GetInactivityTimeout() const;
  bool IsSilent(TimePoint now) const;
  bool IsPastStartLimit(TimePoint now) const;
  bool IsStream() const { return m_match.rule->kind == RequestKind::kStream; }

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

  // Current attempt. Callbacks of earlier attempts are recognised by m_attempt_number and ignored.
  std::shared_ptr<HttpCall> m_call;
  uint64_t m_attempt_number = 0;
  EndpointId m_endpoint;
  TimePoint m_sent_at;
  Incarnation m_endpoint_incarnation;
  std::optional<ResponseHead> m_response_head;
  std::string m_response_body;
  EventSplitter m_events;
  // When the endpoint last sent its head, a new event of a stream, or bytes of another response.
  TimePoint m_last_received_at;
  bool m_is_prefill_done = false;
  // Whether the endpoint has sent a part of the response's body, so that the request has started there.
  bool m_has_body = false;

  std::vector<EndpointId> m_tried_endpoints;
  // Whether an attempt that has ended may have been executed.
  bool m_may_have_run = false;
  // Whether the response header of a stream has been sent to the caller.
  bool m_has_events = false;
  std::optional<uint64_t> m_last_event_id;
  std::optional<WeightVersion> m_weight_version;
  // Error response of an endpoint, which is forwarded if no further attempt succeeds.
  std::optional<HttpResponse> m_error_response;
  bool m_is_ended = false;
  ActiveRequestOutcome m_outcome;
  mutable std::optional<ContentKey> m_request_key;
};

}  // namespace plantain

#endif  // PLANTAIN_ACTIVE_REQUEST_H_

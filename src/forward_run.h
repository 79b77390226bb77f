// State machine of a forwarded request: sends attempts to endpoints until one yields a response or the request fails.

#ifndef PLANTAIN_FORWARD_RUN_H_
#define PLANTAIN_FORWARD_RUN_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "endpoint_board.h"
#include "event_splitter.h"
#include "forward_type.h"
#include "http_client.h"
#include "http_server.h"
#include "route_match.h"
#include "wait_room.h"

namespace plantain {

// Sends HTTP requests of attempts to endpoints.
class AttemptSender {
 public:
  virtual ~AttemptSender() = default;

  virtual std::shared_ptr<HttpCall> Send(const HttpTarget& target, const HttpRequest& request, HttpCallOptions options,
                                         HttpCallbacks callbacks) = 0;
};

class ForwardRun;

// Interface of the traffic loop that owns the forwarded requests.
class RunHost {
 public:
  virtual ~RunHost() = default;

  // Called once for each attempt when the endpoint has processed the prompt: at its first event, or at the attempt's
  // end if no event came.
  virtual void OnPromptRead(ForwardRun& run, const EndpointId& endpoint) = 0;
  virtual void OnAttemptEnded(ForwardRun& run, const EndpointId& endpoint, AttemptEnd end) = 0;
  // Requests another attempt. The host calls StartAttempt or Fail, possibly within this call.
  virtual void RequestPlace(ForwardRun& run) = 0;
  // Takes one retry from the shared budget. Returns false if the budget is exhausted.
  virtual bool TakeRetry(ForwardRun& run) = 0;
  // Returns the Retry-After time for a caller whose request has not run.
  virtual Duration SuggestReturn(ForwardRun& run) = 0;
  // Called after the final response was sent. The host must not destroy the request within this call.
  virtual void OnRunEnded(ForwardRun& run) = 0;
};

struct RunParts {
  const Clock& clock;
  const CallerProtocol& protocol;
  AttemptSender& sender;
  RunHost& host;
};

// Result of a forwarded request, for logs and metrics.
struct RunOutcome {
  int status = 0;
  ForwardFailure failure = ForwardFailure::kNone;
  // Short description of the cause, for the log.
  std::string reason;
  uint32_t attempts = 0;
  // Number of attempts that may have been executed.
  uint32_t runs = 0;
  EndpointId endpoint;
  uint32_t load = 0;
  Duration load_age{};
  // Expected time to the first event, as estimated when the attempt was sent.
  Duration expected{};
  Duration waited{};
  std::optional<Duration> first_event;
  Duration total{};
  uint64_t events = 0;
};

// One forwarded request and its attempts. Not thread-safe; used on one traffic loop.
class ForwardRun : public std::enable_shared_from_this<ForwardRun> {
 public:
  // `rules` owns the routing document that `match` points into.
  ForwardRun(RunParts& parts, ForwardRequest request, const RouteMatch& match,
             std::shared_ptr<const RouteMatcher> rules, PoolName pool, WaitTicket ticket,
             std::shared_ptr<HttpResponder> responder);

  // Registers for the event that the caller closes its connection.
  void WatchCaller();

  // Sends the request to an endpoint. If `version` is set, an endpoint that serves another weight version refuses it.
  void StartAttempt(const EndpointChoice& choice, std::optional<WeightVersion> version);

  // Ends the request with a failure. Never reports a request that may have run as not run.
  void Fail(ForwardFailure failure, std::string reason);

  // Handles the deadline and the inactivity timeout. Must be called regularly.
  void CheckDue(TimePoint now);

  bool IsEnded() const { return m_is_ended; }
  bool IsWaiting() const { return m_call == nullptr && !m_is_ended; }
  const ForwardRequest& GetRequest() const { return m_request; }
  const RouteMatch& GetMatch() const { return m_match; }
  const RouteMatcher& GetRules() const { return *m_rules; }
  const PoolName& GetPool() const { return m_pool; }
  WaitTicket GetTicket() const { return m_ticket; }
  TimePoint GetStart() const { return m_started_at; }
  TimePoint GetDeadline() const { return m_deadline; }
  // Returns the endpoints that were tried, which retries avoid.
  const std::vector<EndpointId>& GetTried() const { return m_tried; }
  // Returns the weight version of the events that the caller has received. A resumed stream must use the same version.
  std::optional<WeightVersion> GetVersion() const { return m_has_events ? m_version : std::nullopt; }
  bool HasEvents() const { return m_has_events; }
  const RunOutcome& GetOutcome() const { return m_outcome; }

 private:
  void OnHead(int status, const HttpHeaders& headers);
  void OnData(std::string_view data);
  void OnDone(const absl::Status& status);
  void OnEvents(std::string events);
  void FinishAttempt(const absl::Status& status);
  void FinishStream();
  void Deliver();
  void BreakStream(AttemptEnd end, std::string reason);
  void EndAttempt(AttemptEnd end);
  void NotePromptRead();
  void TryAgain(bool may_have_run, std::string reason);
  void GiveUp(bool may_have_run, std::string reason);
  void End(int status, ForwardFailure failure, std::string reason);
  void OnCallerGone();
  HttpCallOptions MakeOptions(TimePoint now) const;
  Duration GetSilenceLimit() const;
  bool IsStream() const { return m_match.rule->kind == RequestKind::kStream; }

  RunParts& m_parts;
  const ForwardRequest m_request;
  const RouteMatch m_match;
  const std::shared_ptr<const RouteMatcher> m_rules;
  const PoolName m_pool;
  const WaitTicket m_ticket;
  const std::shared_ptr<HttpResponder> m_responder;
  const TimePoint m_started_at;
  const TimePoint m_deadline;

  // Current attempt. Callbacks of earlier attempts are recognised by m_attempt and ignored.
  std::shared_ptr<HttpCall> m_call;
  uint64_t m_attempt = 0;
  EndpointId m_endpoint;
  std::optional<AnswerHead> m_head;
  std::string m_body;
  EventSplitter m_events;
  TimePoint m_heard_at;
  bool m_is_prompt_read = false;

  std::vector<EndpointId> m_tried;
  // Whether an attempt that has ended may have been executed.
  bool m_may_have_run = false;
  // Whether the response header of a stream has been sent to the caller.
  bool m_has_events = false;
  std::optional<uint64_t> m_last_event;
  std::optional<WeightVersion> m_version;
  // Error response of an endpoint, which is forwarded if no further attempt succeeds.
  std::optional<HttpResponse> m_error_answer;
  bool m_is_ended = false;
  RunOutcome m_outcome;
};

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_RUN_H_

// One forwarded request on its way through attempts until it has an answer or an error.

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

// Sends attempts to endpoints.
class AttemptSender {
 public:
  virtual ~AttemptSender() = default;

  virtual std::shared_ptr<HttpCall> Send(const HttpTarget& target, const HttpRequest& request, HttpCallOptions options,
                                         HttpCallbacks callbacks) = 0;
};

class ForwardRun;

// What a run asks of its traffic loop and tells it.
class RunHost {
 public:
  virtual ~RunHost() = default;

  // The endpoint has read the request: its first event came, or the attempt ended before that.
  virtual void OnPromptRead(ForwardRun& run, const EndpointId& endpoint) = 0;
  virtual void OnAttemptEnded(ForwardRun& run, const EndpointId& endpoint, AttemptEnd end) = 0;
  // The run wants another attempt; StartAttempt or Fail follows, maybe within this call.
  virtual void RequestPlace(ForwardRun& run) = 0;
  // Takes one attempt beyond the first out of the shared budget.
  virtual bool TakeRetry(ForwardRun& run) = 0;
  // When a caller should come back whose request has not run.
  virtual Duration SuggestReturn(ForwardRun& run) = 0;
  // The run has given its final answer. It must not be destroyed within this call.
  virtual void OnRunEnded(ForwardRun& run) = 0;
};

struct RunParts {
  const Clock& clock;
  const CallerProtocol& protocol;
  AttemptSender& sender;
  RunHost& host;
};

// How a run ended, for log and metrics.
struct RunOutcome {
  int status = 0;
  ForwardFailure failure = ForwardFailure::kNone;
  // What decided the end, in a few words.
  std::string reason;
  uint32_t attempts = 0;
  // Attempts that may have run.
  uint32_t runs = 0;
  EndpointId endpoint;
  uint32_t load = 0;
  Duration load_age{};
  // Time to the first event that was expected when the attempt was sent.
  Duration expected{};
  Duration waited{};
  std::optional<Duration> first_event;
  Duration total{};
  uint64_t events = 0;
};

// Used on one traffic loop.
class ForwardRun : public std::enable_shared_from_this<ForwardRun> {
 public:
  // `rules` keeps the document alive that `match` points into.
  ForwardRun(RunParts& parts, ForwardRequest request, const RouteMatch& match,
             std::shared_ptr<const RouteMatcher> rules, PoolName pool, WaitTicket ticket,
             std::shared_ptr<HttpResponder> responder);

  // Begins to watch whether the caller goes away.
  void WatchCaller();

  // Sends the request to an endpoint. If `version` is set, an endpoint with other weights refuses.
  void StartAttempt(const EndpointChoice& choice, std::optional<WeightVersion> version);

  // Ends the run with a failure. What may have run is not called "not run".
  void Fail(ForwardFailure failure, std::string reason);

  // Does what is due at this time. Call regularly.
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
  // Endpoints that have been tried and should not be tried again.
  const std::vector<EndpointId>& GetTried() const { return m_tried; }
  // Weights of the events that the caller has; a resumption must use the same.
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

  // The attempt in progress.
  std::shared_ptr<HttpCall> m_call;
  uint64_t m_attempt = 0;
  EndpointId m_endpoint;
  std::optional<AnswerHead> m_head;
  std::string m_body;
  EventSplitter m_events;
  TimePoint m_heard_at;
  bool m_is_prompt_read = false;

  std::vector<EndpointId> m_tried;
  // Whether an attempt that ended may have run.
  bool m_may_have_run = false;
  // Whether the head of a stream has been sent to the caller.
  bool m_has_events = false;
  std::optional<uint64_t> m_last_event;
  std::optional<WeightVersion> m_version;
  // An endpoint's own failure that can be passed on if no further attempt succeeds.
  std::optional<HttpResponse> m_error_answer;
  bool m_is_ended = false;
  RunOutcome m_outcome;
};

}  // namespace plantain

#endif  // PLANTAIN_FORWARD_RUN_H_

// Runs one request through its attempts, retries and resumptions until it has an answer or an error.

#ifndef PLANTAIN_REQUEST_EXECUTION_H_
#define PLANTAIN_REQUEST_EXECUTION_H_

#include <functional>
#include <memory>
#include <vector>

#include "attempt_client.h"
#include "entry_type.h"
#include "join_table.h"
#include "retry_policy.h"
#include "route_choose.h"

namespace plantain {

class RequestExecution;

// Receives the events of running requests, for metrics, request history and admission control.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;

  // An attempt was sent; `number` counts from 1.
  virtual void OnAttempt(const RequestExecution& execution, AttemptId attempt, const VmId& vm, uint32_t number) = 0;
  virtual void OnAttemptFailed(const RequestExecution& execution, AttemptId attempt, const VmId& vm,
                               std::string_view reason, bool is_not_run) = 0;
  // A token was received; called before it is added to the answer.
  virtual void OnToken(const RequestExecution& execution, const Digest& manifest) = 0;
  // An endpoint refused an attempt because of overload, or all endpoints are full.
  virtual void OnOverload(const RequestExecution& execution) = 0;
  // The request has ended; `error` is null after a complete answer. The run must not be destroyed within this call.
  virtual void OnFinished(const RequestExecution& execution, const EntryError* error) = 0;
};

// Dependencies that requests get from their traffic loop.
struct RequestDeps {
  const Clock& clock;
  RouteChooser& chooser;
  RetryPolicy& retries;
  // For resuming streams whose endpoint was lost. It has a separate budget because one failed endpoint interrupts many
  // streams at once, and a resumption generates no token twice.
  RetryPolicy& resumes;
  AttemptClient& attempts;
  RequestObserver& observer;
  // Returns the current minimum time to the first part of an answer for a kind of request.
  std::function<Duration(const RouteKey&)> get_expected;
};

// Used on one traffic loop only.
//
// An attempt whose endpoint is silent goes on. If the request may be repeated, another one is started beside it (a
// hedge); the first of the two that answers is the answer, and the other one is cancelled then.
class RequestExecution : public AttemptListener {
 public:
  RequestExecution(RequestDeps& deps, EntryRequest request, std::shared_ptr<SharedAnswer> answer);
  ~RequestExecution() override;
  RequestExecution(const RequestExecution&) = delete;
  RequestExecution& operator=(const RequestExecution&) = delete;

  void Start();

  // Sends the next attempt once its backoff has elapsed, and fails the request at its deadline. Call periodically.
  void CheckDue(TimePoint now);

  // Fails the request because the process stops.
  void GiveUp();

  // Cancels the request because no caller is waiting for it any more.
  void Cancel();

  // Whether the request may be cancelled when it has no callers left. A call that must not run twice runs to
  // completion, so that its result is available when the caller retries.
  bool IsCancellable() const { return m_request.is_idempotent; }

  bool IsFinished() const { return m_is_finished; }
  // The endpoint of the latest attempt; empty before the first.
  const VmId& GetEndpoint() const { return m_endpoint; }
  const EntryRequest& GetRequest() const { return m_request; }
  const SharedAnswer& GetAnswer() const { return *m_answer; }

  void OnToken(AttemptId attempt, std::string text, const Digest& manifest) override;
  void OnEnd(AttemptId attempt, int status, std::string body) override;
  void OnRefused(AttemptId attempt, const proto::AttemptRefused& refused) override;
  void OnLost(AttemptId attempt, AttemptLoss loss) override;
  void OnSilent(AttemptId attempt) override;

 private:
  // An attempt that was sent and has not ended.
  struct RunningAttempt {
    AttemptId id;
    VmId vm;
    TimePoint sent_at;
  };

  void SendAttempt();
  // Sends the request beside its silent attempt, if another endpoint and a retry can be had.
  void TryHedge();
  RouteChoice ChooseEndpoint();
  // Returns false if the attempt was definitely not sent.
  bool StartAttempt(const VmId& vm);
  proto::AttemptStart MakeStart() const;
  void FillCompletion(proto::CompletionCall& call) const;
  void FillService(proto::ServiceCall& call) const;
  void HandleNoRoute(const RouteChoice& choice);
  // Removes an attempt from those that run and returns its endpoint.
  VmId EndAttempt(AttemptId attempt);
  void CancelAttempt(AttemptId attempt);
  // Makes an attempt the only one, because its answer is the one that callers get.
  void CancelOthers(AttemptId attempt);
  RetryQuery MakeRetryQuery(AttemptOutcome outcome) const;
  RetryPolicy& GetRetryPolicy() const { return HasTokens() ? m_deps.resumes : m_deps.retries; }
  void RetryOrFail(AttemptOutcome outcome, EntryFailure failure, Duration hint, std::string detail);
  void Finish();
  void Fail(EntryFailure failure, Duration hint, std::string detail);
  bool HasTokens() const { return !m_answer->GetAnswer().tokens.empty(); }

  RequestDeps& m_deps;
  const EntryRequest m_request;
  const std::shared_ptr<SharedAnswer> m_answer;
  const PrefixHashes m_prefix;
  // At most a silent attempt and its hedge, in the order in which they were sent.
  std::vector<RunningAttempt> m_running;
  // The attempt that is silent, or zero, and when a hedge is tried again beside it.
  AttemptId m_silent_attempt;
  TimePoint m_hedge_at;
  VmId m_endpoint;
  std::vector<VmId> m_tried;
  uint32_t m_attempts = 0;
  // Attempts that could be sent.
  uint32_t m_sent = 0;
  bool m_is_not_run = true;
  bool m_is_finished = false;
  bool m_is_waiting = false;
  TimePoint m_next_attempt_at;
  // Last failure, reported to the caller if no other endpoint is available.
  EntryFailure m_last_failure = EntryFailure::kNone;
};

}  // namespace plantain

#endif  // PLANTAIN_REQUEST_EXECUTION_H_

// Executes attempts on the local engine or plain service.

#ifndef PLANTAIN_ATTEMPT_RUNNER_H_
#define PLANTAIN_ATTEMPT_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "admission.h"
#include "attempt.pb.h"
#include "attempt_check.h"
#include "attempt_metrics.h"
#include "attempt_table.h"
#include "clock.h"
#include "config_type.h"
#include "event_log.h"
#include "gate_type.h"
#include "http_client.h"
#include "once_type.h"

namespace plantain {

// Submits a call for at-most-once execution. Thread-safe; the callback runs on the caller's loop.
using SubmitOnce = std::function<void(OnceCall, OnAnswer)>;

// Dependencies of a runner. All references must outlive it.
struct RunnerDeps {
  const Clock& clock;
  Admission& admission;
  const ConfigSource& config;
  // Null for a plain service.
  ServingGate* gate = nullptr;
  HttpClient& http;
  HttpTarget target;
  EndpointRole role;
  // Empty for an engine.
  SubmitOnce submit_once;
  AttemptMetrics& metrics;
  RequestHistory& history;
  // Sends a message to the entry that started the attempt; returns false if its connection is closed.
  std::function<bool(const ConnectionId&, const proto::AttemptMessage&)> send;
};

// Drives each attempt from its start message to exactly one final reply. Must only be used on one traffic loop.
//
// Every attempt ends in Release, which closes the engine call, leaves the gate and frees the slot. The final reply is
// sent after it, except for cancelled attempts and for entries that have disconnected.
class AttemptRunner {
 public:
  explicit AttemptRunner(RunnerDeps deps);

  // Starts an attempt. A duplicate start with the same id on the same connection is ignored.
  void Begin(const ConnectionId& from, const proto::AttemptStart& start);

  // Aborts an attempt without a reply and closes its connection to the engine.
  void Cancel(const AttemptKey& key);

  // Refuses all new attempts and those still waiting for a slot. Admitted attempts continue.
  void BeginLeaving();

  // Refuses waiting attempts once the zone is taken out of service. Must be called every few milliseconds.
  void Tick();

  size_t GetInProgress() const { return m_table.GetSize(); }

 private:
  using AttemptPtr = std::shared_ptr<Attempt>;

  std::optional<proto::RefusalReason> Check(const proto::AttemptStart& start) const;
  std::optional<proto::RefusalReason> CheckGate(const proto::CompletionCall& call) const;
  void RequestAdmission(const AttemptPtr& attempt);
  void OnAdmitted(const AttemptPtr& attempt, SlotId slot);

  void RunCompletion(const AttemptPtr& attempt);
  HttpRequest MakeCompletionRequest(const Attempt& attempt, const std::string& engine_id) const;
  // These take the attempt by value, because cancelling a call destroys the callback that owns the reference.
  void OnCompletionHead(AttemptPtr attempt, int status);
  void OnCompletionData(AttemptPtr attempt, std::string_view data);
  void OnCompletionDone(AttemptPtr attempt, const absl::Status& status);
  void ForwardToken(const AttemptPtr& attempt, uint32_t index, const std::string& text);

  void RunRepeatable(const AttemptPtr& attempt);
  void OnServiceAnswer(AttemptPtr attempt, const absl::StatusOr<HttpResponse>& response);
  void RunAtMostOnce(const AttemptPtr& attempt);
  void OnOnceAnswer(const AttemptPtr& attempt, const OnceAnswer& answer);

  void EndCompletion(const AttemptPtr& attempt);
  void EndService(const AttemptPtr& attempt, uint32_t status, const std::string& body, RequestEnd end,
                  std::optional<Duration> call_time);
  void HandleEngineFailure(const AttemptPtr& attempt, const absl::Status& status);
  void Refuse(const AttemptPtr& attempt, const Refusal& refusal, RequestEnd end);
  void Release(const AttemptPtr& attempt, RequestEnd end, std::optional<Duration> call_time = std::nullopt);
  void AddToHistory(const Attempt& attempt, std::string line);

  const RunnerDeps m_deps;
  AttemptTable m_table;
  uint64_t m_next_engine_id = 1;
  bool m_is_leaving = false;
};

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_RUNNER_H_

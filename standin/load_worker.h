// Worker thread of the load tool: sends requests at their arrival times and tracks each until it completes.

#ifndef PLANTAIN_LOAD_WORKER_H_
#define PLANTAIN_LOAD_WORKER_H_

#include <memory>
#include <unordered_set>
#include <vector>

#include "answer_check.h"
#include "clock.h"
#include "http_client.h"
#include "load_plan.h"
#include "load_report.h"
#include "loop.h"

namespace plantain::standin {

// Open-loop load generator with its own event loop: arrivals do not wait for earlier answers.
class LoadWorker {
 public:
  LoadWorker(const LoadOptions& options, size_t thread, const Clock& clock);
  ~LoadWorker();

  // Sends the load and returns once every request has completed or the time limit for answers has passed.
  void Run();

  const LoadReport& GetReport() const { return m_report; }

 private:
  struct PendingRequest;

  void SendDueRequests();
  void ScheduleNextArrival();
  void StartAttempt(const std::shared_ptr<PendingRequest>& pending);
  HttpRequest MakeHttpRequest(const PendingRequest& pending) const;
  const HttpTarget& ChooseTarget(const PendingRequest& pending) const;
  void OnHead(const std::shared_ptr<PendingRequest>& pending, int status, const HttpHeaders& headers);
  void OnData(const std::shared_ptr<PendingRequest>& pending, std::string_view data);
  void OnDone(const std::shared_ptr<PendingRequest>& pending, const absl::Status& status);
  void HandleAnswer(const std::shared_ptr<PendingRequest>& pending);
  void HandleRefusal(const std::shared_ptr<PendingRequest>& pending);
  // Schedules a retry if the retry limit and the deadline allow it, otherwise completes the request.
  void RetryOrFinish(const std::shared_ptr<PendingRequest>& pending, LoadResult result, Duration retry_after);
  void FinishRequest(const std::shared_ptr<PendingRequest>& pending, LoadResult result);
  void FailUnfinished();
  Duration GetSinceStart() const { return m_clock.GetNow() - m_started_at; }
  void StopIfDone();

  const LoadOptions& m_options;
  const Clock& m_clock;
  MemoryBudget m_answer_memory;
  Loop m_loop;
  HttpClient m_client;
  LoadPlan m_plan;
  LoadReport m_report;
  TimePoint m_started_at;
  TimePoint m_next_at;
  TimePoint m_sending_ends_at;
  bool m_is_sending = true;
  size_t m_next_target;
  std::unordered_set<std::shared_ptr<PendingRequest>> m_pending_requests;
  std::unique_ptr<Timer> m_arrival_timer;
  std::unique_ptr<Timer> m_end_timer;
};

}  // namespace plantain::standin

#endif  // PLANTAIN_LOAD_WORKER_H_

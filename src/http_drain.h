// Graceful stop of an HTTP server and of the requests behind it.

#ifndef PLANTAIN_HTTP_DRAIN_H_
#define PLANTAIN_HTTP_DRAIN_H_

#include <functional>

#include "clock.h"
#include "drain_control.h"
#include "http_server.h"

namespace plantain {

// The requests that a server passes to its handler.
class DrainableRequests {
 public:
  virtual ~DrainableRequests() = default;

  virtual size_t GetInFlight() const = 0;
  // Told when the stop begins: new requests are refused from `refuse_from` on unless their answers are complete by
  // `end`.
  virtual void BeginDrain(TimePoint refuse_from, TimePoint end) = 0;
  // Answers each request that is left with a failure.
  virtual void GiveUp() = 0;
};

// Carries out what a DrainControl decides. Used on the server's loop only.
class HttpDrain {
 public:
  HttpDrain(const Clock& clock, HttpServer& server, DrainableRequests& requests, DrainTimes times);

  // Begins the stop, whose times count from `now`. `done` is called once on the loop, when no connection is left or the
  // time is over.
  void Begin(TimePoint now, std::function<void()> done);

  // Counts what is left and carries out what is due. Call every few milliseconds.
  void Tick();

 private:
  void EnterPhase(DrainPhase phase, const DrainLoad& load);

  const Clock& m_clock;
  HttpServer& m_server;
  DrainableRequests& m_requests;
  const DrainTimes m_times;
  DrainControl m_control;
  std::function<void()> m_on_done;
};

}  // namespace plantain

#endif  // PLANTAIN_HTTP_DRAIN_H_

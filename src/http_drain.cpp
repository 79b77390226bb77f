#include "http_drain.h"

#include <algorithm>
#include <utility>

#include "event_log.h"

namespace plantain {

HttpDrain::HttpDrain(const Clock& clock, HttpServer& server, DrainableRequests& requests, DrainTimes times)
    : m_clock(clock), m_server(server), m_requests(requests), m_times(times), m_control(times) {}

void HttpDrain::Begin(TimePoint now, std::function<void()> done) {
  if (m_control.HasBegun()) return;
  m_on_done = std::move(done);
  m_control.Begin(now);
  m_requests.BeginDrain(now + m_times.notice, now + m_times.give_up);
  m_server.CloseAfterAnswers();
}

void HttpDrain::Tick() {
  const DrainPhase before = m_control.GetPhase();
  if (before == DrainPhase::kServing || before == DrainPhase::kEnded) return;
  // A request whose caller has gone counts although it has no connection, and an answer until it is written.
  const DrainLoad load{std::max(m_requests.GetInFlight(), m_server.GetInFlight()), m_server.GetConnectionCount()};
  const TimePoint now = m_clock.GetNow();
  const DrainPhase phase = m_control.Update(now, load);
  if (phase != before) EnterPhase(phase, load);
  if (phase >= DrainPhase::kClosingIdle) m_server.CloseIdle(now);
}

void HttpDrain::EnterPhase(DrainPhase phase, const DrainLoad& load) {
  if (phase == DrainPhase::kNotListening) {
    LogEvent(LogLevel::kInfo, "listening_ended", {{"requests", load.requests}, {"connections", load.connections}});
    m_server.StopAccepting();
  } else if (phase == DrainPhase::kGivingUp) {
    LogEvent(LogLevel::kWarn, "requests_given_up", {{"requests", load.requests}, {"connections", load.connections}});
    m_requests.GiveUp();
  } else if (phase == DrainPhase::kEnded) {
    LogEvent(LogLevel::kInfo, "drained", {{"requests", load.requests}, {"connections", load.connections}});
    std::exchange(m_on_done, nullptr)();
  }
}

}  // namespace plantain

#include "caller_memory_report.h"

#include <utility>

#include "event_log.h"

namespace plantain {
namespace {

// Under attack thousands of connections a second are shed, each of which would make a line.
constexpr Duration kLineInterval = Milliseconds(250);

}  // namespace

uint64_t CallerMemoryReport::LineLimit::Count(TimePoint now) {
  ++m_count;
  if (m_logged_at.has_value() && now - *m_logged_at < kLineInterval) return 0;
  m_logged_at = now;
  return std::exchange(m_count, 0);
}

CallerMemoryReport::CallerMemoryReport(const Clock& clock, Metrics& metrics, std::string ports)
    : m_clock(clock),
      m_metrics(metrics),
      m_ports(std::move(ports)),
      m_used(metrics.GetGauge("plantain_caller_memory_bytes", "Memory held for connections, by ports.",
                              {{"ports", m_ports}})),
      m_connections(
          metrics.GetGauge("plantain_caller_connections", "Open connections, by ports.", {{"ports", m_ports}})) {}

void CallerMemoryReport::OnUsed(size_t bytes) {
  m_used.Increment(static_cast<double>(bytes) - m_used_reported);
  m_used_reported = static_cast<double>(bytes);
}

void CallerMemoryReport::OnConnections(size_t count) {
  m_connections.Increment(static_cast<double>(count) - m_connections_reported);
  m_connections_reported = static_cast<double>(count);
}

void CallerMemoryReport::OnShed(const ShedInfo& info) {
  GetCounter("shed", info.cause).Increment();
  const uint64_t count = m_shed_lines.Count(m_clock.GetNow());
  if (count == 0) return;
  LogEvent(LogLevel::kWarn, "caller_shed",
           {{"ports", m_ports},
            {"cause", GetShedCauseName(info.cause)},
            {"state", GetCallerStateName(info.state)},
            {"held_bytes", info.held},
            {"stalled_ms", ToMilliseconds(info.stalled)},
            {"used_bytes", info.used},
            {"connections", info.connections},
            {"count", count}});
}

void CallerMemoryReport::OnRefused(ShedCause cause) {
  GetCounter("refused", cause).Increment();
  const uint64_t count = m_refused_lines.Count(m_clock.GetNow());
  if (count == 0) return;
  LogEvent(LogLevel::kWarn, "caller_refused",
           {{"ports", m_ports}, {"cause", GetShedCauseName(cause)}, {"count", count}});
}

void CallerMemoryReport::OnLargestTooLarge(size_t needed, size_t available) {
  if (std::exchange(m_largest_logged, needed) == needed) return;
  LogEvent(LogLevel::kWarn, "caller_limits_exceed_memory",
           {{"ports", m_ports}, {"needed_bytes", needed}, {"available_bytes", available}});
}

prometheus::Counter& CallerMemoryReport::GetCounter(const std::string& end, ShedCause cause) {
  return m_metrics.GetCounter("plantain_caller_shed_total",
                              "Connections shed or refused because memory or descriptors are short.",
                              {{"ports", m_ports}, {"end", end}, {"cause", std::string(GetShedCauseName(cause))}});
}

}  // namespace plantain

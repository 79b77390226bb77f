// Metrics and log lines of a CallerMemory.

#ifndef PLANTAIN_CALLER_MEMORY_REPORT_H_
#define PLANTAIN_CALLER_MEMORY_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "caller_memory.h"
#include "metrics.h"

namespace plantain {

// Logs at most a few lines a second, each with the number of events since the last one.
class CallerMemoryReport : public CallerMemoryListener {
 public:
  // `ports` names the ports whose connections are counted.
  CallerMemoryReport(const Clock& clock, Metrics& metrics, std::string ports);

  void OnUsed(size_t bytes) override;
  void OnConnections(size_t count) override;
  void OnShed(const ShedInfo& info) override;
  void OnRefused(ShedCause cause) override;
  void OnLargestTooLarge(size_t needed, size_t available) override;

 private:
  // Limits how often one kind of line is logged.
  class LineLimit {
   public:
    // Returns the number of events to log now, or 0 to log nothing.
    uint64_t Count(TimePoint now);

   private:
    uint64_t m_count = 0;
    std::optional<TimePoint> m_logged_at;
  };

  prometheus::Counter& GetCounter(const std::string& end, ShedCause cause);

  const Clock& m_clock;
  Metrics& m_metrics;
  const std::string m_ports;
  prometheus::Gauge& m_used;
  prometheus::Gauge& m_connections;
  // What was last reported. Loops that share the metrics each add their own.
  double m_used_reported = 0;
  double m_connections_reported = 0;
  LineLimit m_shed_lines;
  LineLimit m_refused_lines;
  size_t m_largest_logged = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_CALLER_MEMORY_REPORT_H_

// Metrics of one process: a prometheus-cpp registry behind a small interface, served as text on /metrics.

#ifndef PLANTAIN_METRICS_H_
#define PLANTAIN_METRICS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "prometheus/counter.h"
#include "prometheus/gauge.h"
#include "prometheus/histogram.h"

namespace prometheus {
class Registry;
}

namespace plantain {

using MetricLabels = std::map<std::string, std::string>;

// Creates metrics. Names end in their unit (`_seconds`, `_bytes`, `_total`); help texts say what is counted.
// References stay valid as long as this object. Safe from any thread; asking again for the same name and labels
// returns the same metric.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  prometheus::Counter& GetCounter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
  prometheus::Gauge& GetGauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
  prometheus::Histogram& GetHistogram(const std::string& name, const std::string& help,
                                      const std::vector<double>& buckets, const MetricLabels& labels = {});

  // Returns all metrics in the Prometheus text format.
  std::string GetText() const;

 private:
  std::shared_ptr<prometheus::Registry> m_registry;
};

}  // namespace plantain

#endif  // PLANTAIN_METRICS_H_

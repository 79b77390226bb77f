#include "metrics.h"

#include "prometheus/registry.h"
#include "prometheus/text_serializer.h"

namespace plantain {

Metrics::Metrics() : m_registry(std::make_shared<prometheus::Registry>()) {}

Metrics::~Metrics() = default;

prometheus::Counter& Metrics::GetCounter(const std::string& name, const std::string& help, const MetricLabels& labels) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Gauge& Metrics::GetGauge(const std::string& name, const std::string& help, const MetricLabels& labels) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Histogram& Metrics::GetHistogram(const std::string& name, const std::string& help,
                                             const std::vector<double>& buckets, const MetricLabels& labels) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(*m_registry).Add(labels, buckets);
}

std::string Metrics::GetText() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

}  // namespace plantain

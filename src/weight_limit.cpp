#include "weight_limit.h"

#include <algorithm>

namespace plantain {

std::optional<WeightVersion> GetMinStartVersion(const std::vector<WantedWeights>& wanted, const ModelName& model,
                                                Duration limit, TimePoint now) {
  std::optional<WeightVersion> version;
  for (const WantedWeights& weights : wanted) {
    const bool is_due = now - weights.since > limit;
    if (weights.model == model && is_due) version = std::max(version.value_or(WeightVersion()), weights.version);
  }
  return version;
}

std::optional<TimePoint> GetStartLimit(const std::vector<WantedWeights>& wanted, const ModelName& model,
                                       WeightVersion version, Duration limit) {
  std::optional<TimePoint> end;
  for (const WantedWeights& weights : wanted) {
    if (weights.model != model || weights.version <= version) continue;
    end = std::min(end.value_or(TimePoint::max()), weights.since + limit);
  }
  return end;
}

}  // namespace plantain

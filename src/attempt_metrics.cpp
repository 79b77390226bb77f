#include "attempt_metrics.h"

#include <cctype>

namespace plantain {
namespace {

constexpr std::string_view kPrefix = "REFUSAL_REASON_";
const std::vector<double> kFirstTokenBuckets = {0.01, 0.02, 0.05, 0.1, 0.2, 0.42, 1, 2, 5, 10};

}  // namespace

std::string GetReasonName(proto::RefusalReason reason) {
  std::string name = proto::RefusalReason_Name(reason);
  if (name.compare(0, kPrefix.size(), kPrefix) == 0) name.erase(0, kPrefix.size());
  for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return name;
}

AttemptMetrics::AttemptMetrics(Metrics& metrics)
    : admitted(metrics.GetCounter("plantain_attempts_admitted_total", "Attempts that got a slot.")),
      tokens(metrics.GetCounter("plantain_tokens_total", "Tokens forwarded to entries.")),
      mismatches(metrics.GetCounter("plantain_weights_mismatches_total", "Answers from other weights than expected.")),
      engine_errors(metrics.GetCounter("plantain_engine_errors_total", "Failed calls to the engine or service.")),
      cancelled(metrics.GetCounter("plantain_attempts_cancelled_total", "Attempts that their entry cancelled.")),
      duplicates(metrics.GetCounter("plantain_attempts_duplicate_total", "Attempt ids received a second time.")),
      unknown_attempts(
          metrics.GetCounter("plantain_attempts_unknown_total", "Messages for attempts that are not in progress.")),
      malformed(metrics.GetCounter("plantain_attempt_messages_malformed_total", "Messages that could not be read.")),
      first_token_seconds(metrics.GetHistogram("plantain_first_token_seconds",
                                               "Time from admission to the first token.", kFirstTokenBuckets)),
      m_metrics(metrics) {}

prometheus::Counter& AttemptMetrics::GetRefused(proto::RefusalReason reason) {
  return m_metrics.GetCounter("plantain_attempts_refused_total", "Attempts refused, by reason.",
                              {{"reason", GetReasonName(reason)}});
}

}  // namespace plantain

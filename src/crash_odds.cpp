#include "crash_odds.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace plantain {
namespace {

// Within about this time, ends may have a common reason.
constexpr Duration kCommonReasonTime = Milliseconds(300);
// Ends within this time came at the same moment, as far as processes can tell.
constexpr Duration kSameMoment = Milliseconds(20);
// As many other ends at the same moment are no coincidence.
constexpr uint32_t kCommonEnds = 2;
// What ends at the same time count for at most, if they count at all.
constexpr double kMaxTogether = 2;
// Losses and running time that are assumed beside what was seen.
constexpr double kAssumedLosses = 0.1;
constexpr Duration kAssumedRunning = std::chrono::minutes(1);
// Bounds of the number of ends by chance that are expected for each one seen.
constexpr double kMinChance = 1e-9;
constexpr double kMaxChance = 1;

double GetWeight(const AttemptLoss& loss, const LossWeights& weights) {
  if (loss.progress == AnswerProgress::kNone) return weights.before_header;
  return loss.progress == AnswerProgress::kHeader ? weights.at_begin : weights.within_answer;
}

double GetGapShare(const AttemptLoss& a, const AttemptLoss& b) {
  return 1 - std::exp(-ToSeconds(b.at - a.at) / ToSeconds(kCommonReasonTime));
}

// Returns the shares of losses [first, end), each of which was sent before the end of the one before.
std::vector<double> GetOverlappingShares(const std::vector<AttemptLoss>& losses, size_t first, size_t end,
                                         const LossWeights& weights) {
  const size_t count = end - first;
  std::vector<double> shares(count, 1);
  for (size_t i = 0; i < count; ++i) {
    if (i > 0) shares[i] = GetGapShare(losses[first + i - 1], losses[first + i]);
    if (losses[first + i].others_at_once >= kCommonEnds) shares[i] = 0;
  }
  const auto telling = std::count_if(losses.begin() + static_cast<std::ptrdiff_t>(first),
                                     losses.begin() + static_cast<std::ptrdiff_t>(end), [&](const AttemptLoss& loss) {
                                       return loss.progress == AnswerProgress::kHeader || weights.is_together_evidence;
                                     });
  if (telling == 0) return shares;
  const double together = std::min(kMaxTogether, 1 + 0.5 * static_cast<double>(telling - 1));
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  if (sum < together) shares.assign(count, together / static_cast<double>(count));
  return shares;
}

double SumShares(std::vector<AttemptLoss> losses, const LossWeights& weights) {
  const std::vector<double> shares = GetIndependentShares(losses, weights);
  return std::accumulate(shares.begin(), shares.end(), 0.0);
}

// Sums up the losses, each with its weight but at most `limit`.
double SumOdds(std::vector<AttemptLoss>& losses, const LossWeights& weights, double limit) {
  const std::vector<double> shares = GetIndependentShares(losses, weights);
  double sum = 0;
  for (size_t i = 0; i < losses.size(); ++i) sum += shares[i] * std::min(limit, GetWeight(losses[i], weights));
  return sum;
}

}  // namespace

std::vector<double> GetIndependentShares(std::vector<AttemptLoss>& losses, const LossWeights& weights) {
  std::sort(losses.begin(), losses.end(), [](const AttemptLoss& a, const AttemptLoss& b) { return a.at < b.at; });
  std::vector<double> shares;
  for (size_t first = 0; first < losses.size();) {
    size_t end = first + 1;
    while (end < losses.size() && losses[end].sent_at < losses[end - 1].at) ++end;
    for (const double share : GetOverlappingShares(losses, first, end, weights)) shares.push_back(share);
    first = end;
  }
  return shares;
}

double GetMaxLogOdds(std::vector<AttemptLoss> losses, const LossWeights& weights) {
  return SumOdds(losses, weights, std::numeric_limits<double>::infinity());
}

double GetLogOdds(LossStatistics statistics, const LossWeights& weights) {
  if (statistics.losses.empty()) return 0;
  const AttemptTotals& totals = statistics.totals;
  const auto count = static_cast<double>(statistics.losses.size());
  Duration running = totals.survived;
  for (const AttemptLoss& loss : statistics.losses) running += loss.at - loss.sent_at;
  const double rate =
      (kAssumedLosses + totals.other_losses + count) / ToSeconds(kAssumedRunning + totals.other_running + running);
  const double chance = std::clamp(rate * ToSeconds(running) / count, kMinChance, kMaxChance);
  // Likelihood ratio for each end of two rates of a Poisson process: the one seen, and the expected one.
  const double log_ratio = -std::log10(chance) - (1 - chance) / std::log(10.0);
  return SumOdds(statistics.losses, weights, log_ratio);
}

void CountAtOnce(std::vector<AttemptLoss>& losses, AttemptLoss& added) {
  for (AttemptLoss& loss : losses) {
    const bool overlaps = loss.sent_at < added.at && added.sent_at < loss.at;
    if (loss.run == added.run || !overlaps || std::chrono::abs(loss.at - added.at) > kSameMoment) continue;
    ++loss.others_at_once;
    ++added.others_at_once;
  }
}

void RemoveLeastIndependent(std::vector<AttemptLoss>& losses, const LossWeights& weights) {
  if (losses.empty()) return;
  size_t least = 0;
  double most_left = -1;
  for (size_t i = 0; i < losses.size(); ++i) {
    std::vector<AttemptLoss> left = losses;
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(i));
    const double shares = SumShares(std::move(left), weights);
    if (shares <= most_left) continue;
    most_left = shares;
    least = i;
  }
  losses.erase(losses.begin() + static_cast<std::ptrdiff_t>(least));
}

}  // namespace plantain

// Whether endpoints end because of a content that their requests had in common, or by chance. No I/O.

#ifndef PLANTAIN_CRASH_ODDS_H_
#define PLANTAIN_CRASH_ODDS_H_

#include <cstdint>
#include <vector>

#include "core_type.h"
#include "crash_report_type.h"

namespace plantain {

// The end of an endpoint's run under an attempt.
struct AttemptLoss {
  EndpointRun run;
  TimePoint sent_at;
  TimePoint at;
  // How much of the answer had come. Few ends fall between the header and the first event by chance.
  AnswerProgress progress = AnswerProgress::kNone;
  // How many other runs ended at the same moment under attempts with the same content.
  uint32_t others_at_once = 0;
};

// What ends say about contents of a kind.
struct LossWeights {
  // Decimal logarithms of the likelihood ratio that one end adds at most. Endpoints also end for reasons that the base
  // rate has not shown yet.
  double before_header = 0;
  double at_begin = 0;
  double within_answer = 0;
  // Whether ends at the same time say something although they are not at the begin of answers.
  bool is_together_evidence = false;
};

// What the odds are computed from.
struct LossStatistics {
  std::vector<AttemptLoss> losses;
  // Over all entries.
  AttemptTotals totals;
};

// Sorts the ends by time, and returns how many independent ends each of them counts for. An end under a request that
// was sent after the end before it counts as one. Attempts that ran at the same time may be lost for a common reason,
// for example in a power failure, so that their ends count the less the closer they are, and nothing if three or more
// came at the same moment. That several of them fall into the begin of answers is no coincidence, but counts for two
// ends at most.
std::vector<double> GetIndependentShares(std::vector<AttemptLoss>& losses, const LossWeights& weights);

// Returns the most that these ends can add to the odds, as a decimal logarithm.
double GetMaxLogOdds(std::vector<AttemptLoss> losses, const LossWeights& weights);

// Returns the decimal logarithm of the likelihood ratio of "the content ends the runs" to "they ended by chance". By
// chance, attempts lose their run at the rate of all attempts, those with the content included.
double GetLogOdds(LossStatistics statistics, const LossWeights& weights);

// Counts a new loss and those that happened at the same moment for each other.
void CountAtOnce(std::vector<AttemptLoss>& losses, AttemptLoss& added);

// Removes the loss that adds least to the number of independent ends.
void RemoveLeastIndependent(std::vector<AttemptLoss>& losses, const LossWeights& weights);

}  // namespace plantain

#endif  // PLANTAIN_CRASH_ODDS_H_

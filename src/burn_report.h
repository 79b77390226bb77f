// The report on error-budget burn rates and its output formats.

#ifndef PLANTAIN_BURN_REPORT_H_
#define PLANTAIN_BURN_REPORT_H_

#include <string>
#include <vector>

#include "burn_type.h"
#include "burn_window.h"
#include "document_type.h"

namespace plantain {

// Time that an error budget covers.
inline constexpr Duration kBurnPeriod = std::chrono::hours(24 * 30);

// Returns the service-level objectives of a configuration document.
std::vector<BurnObjective> GetBurnObjectives(const ObjectiveSpec& spec);

// Computes the report from the accumulated scrapes.
BurnReport MakeBurnReport(const std::string& deployment, const std::vector<BurnObjective>& objectives,
                          const BurnAccumulator& accumulator);

// Returns the report as plain text for a terminal.
std::string FormatBurnText(const BurnReport& report);

std::string FormatBurnJson(const BurnReport& report);

// Returns the report as a self-contained HTML page with plots, without external resources or scripts.
std::string FormatBurnHtml(const BurnReport& report);

// Returns Prometheus alerting rules with the same windows and thresholds.
std::string FormatBurnRules(const std::vector<BurnObjective>& objectives);

}  // namespace plantain

#endif  // PLANTAIN_BURN_REPORT_H_

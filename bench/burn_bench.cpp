// Measures the time, memory and accuracy of the burn report over a month of scrapes.

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "burn_report.h"
#include "burn_sample.h"
#include "random.h"

namespace plantain {
namespace {

constexpr uint32_t kNodes = 370;
constexpr int64_t kMinutesPerDay = 24 * 60;
constexpr int64_t kStart = 1'790'000'040;
// In each minute, a node restarts with a probability of one in this number, which resets its counters to zero.
constexpr uint64_t kRestartOdds = 20'000;
// Each scrape is missing with a probability of one in this number.
constexpr uint64_t kMissingOdds = 500;

// Reference result, counted event by event.
struct Reference {
  double good = 0;
  double bad = 0;
};

struct NodeState {
  BurnSeriesIndex good;
  BurnSeriesIndex bad;
  uint64_t good_count = 0;
  uint64_t bad_count = 0;
  bool is_seen = false;
};

BurnSeriesKey MakeKey(uint32_t node, bool is_bad) {
  BurnSeriesKey key;
  key.is_bad = is_bad;
  key.process = "entry-" + std::to_string(node);
  key.zone = "zone-" + std::to_string(node % 30);
  key.reason = is_bad ? "overloaded" : "";
  return key;
}

// Adds one minute of events to a node and to the reference. The reference contains every event after a node's first
// scrape, including those between its last scrape and a restart, which scrapes cannot cover.
void AddMinute(NodeState& node, Random& random, Reference& pending, Reference& reference, bool is_missing) {
  if (random.GetBelow(kRestartOdds) == 0) {
    node.good_count = 0;
    node.bad_count = 0;
  }
  const uint64_t good = 1000 + random.GetBelow(300);
  const uint64_t bad = random.GetBelow(4);
  node.good_count += good;
  node.bad_count += bad;
  pending.good += static_cast<double>(good);
  pending.bad += static_cast<double>(bad);
  if (is_missing) return;
  if (node.is_seen) {
    reference.good += pending.good;
    reference.bad += pending.bad;
  }
  node.is_seen = true;
  pending = Reference{};
}

Reference WriteSamples(const std::string& path, int64_t days, uint64_t seed) {
  std::ofstream file(path, std::ios::binary);
  BurnSampleWriter writer(file);
  SeededRandom random(seed);
  std::vector<NodeState> nodes(kNodes);
  std::vector<Reference> pending(kNodes);
  for (uint32_t i = 0; i < kNodes; ++i) {
    nodes[i].good = writer.DefineSeries(MakeKey(i, false));
    nodes[i].bad = writer.DefineSeries(MakeKey(i, true));
  }
  Reference reference;
  for (int64_t minute = 0; minute < days * kMinutesPerDay; ++minute) {
    for (uint32_t i = 0; i < kNodes; ++i) {
      const bool is_missing = random.GetBelow(kMissingOdds) == 0;
      AddMinute(nodes[i], random, pending[i], reference, is_missing);
      if (is_missing) continue;
      const std::array<BurnValue, 2> values = {BurnValue{nodes[i].good, nodes[i].good_count},
                                               BurnValue{nodes[i].bad, nodes[i].bad_count}};
      writer.Write(UnixSeconds(kStart + 60 * minute), i, values);
    }
  }
  return reference;
}

double GetPeakMemoryMb() {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) return std::strtod(line.c_str() + 6, nullptr) / 1024;
  }
  return 0;
}

bool Print(const std::string& metric, double value, const std::string& unit, double bound) {
  const bool is_pass = value <= bound;
  std::cout << nlohmann::json{{"bench", "burn"}, {"metric", metric}, {"n", kNodes},       {"value", value},
                              {"unit", unit},    {"bound", bound},   {"better", "lower"}, {"pass", is_pass}}
                   .dump()
            << std::endl;
  return is_pass;
}

int Run(int64_t days, uint64_t seed) {
  const std::string path = "/tmp/plantainmast-burn-" + std::to_string(getpid()) + ".samples";
  const Reference reference = WriteSamples(path, days, seed);
  const auto start = std::chrono::steady_clock::now();
  std::ifstream file(path, std::ios::binary);
  BurnAccumulator accumulator(kBurnPeriod);
  const absl::Status status = ReadBurnSamples(file, accumulator);
  const BurnReport report = MakeBurnReport("bench", {{BurnMeasure::kAvailability, 0.999, 1}}, accumulator);
  const std::string html = FormatBurnHtml(report);
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::remove(path.c_str());
  if (!status.ok()) {
    std::cerr << "bench-burn: " << status << "\n";
    return 1;
  }
  const BurnCount& counted = report.measures.front().period;
  const double expected_share = reference.bad / (reference.bad + reference.good);
  bool is_pass = Print("time_s", seconds, "s", 2);
  is_pass = Print("rss_mb", GetPeakMemoryMb(), "MB", 256) && is_pass;
  is_pass = Print("error_share", std::abs(counted.GetBadShare() - expected_share) / expected_share, "share", 0.001) &&
            is_pass;
  return is_pass ? 0 : 1;
}

}  // namespace
}  // namespace plantain

int main(int argc, char** argv) {
  const int64_t days = argc > 1 ? std::strtol(argv[1], nullptr, 10) : 30;
  const char* seed = std::getenv("SEED");
  const uint64_t number = seed == nullptr ? 20261204 : std::strtoull(seed, nullptr, 10);
  std::cerr << "bench-burn: seed=" << number << " days=" << days << "\n";
  return plantain::Run(days, number);
}

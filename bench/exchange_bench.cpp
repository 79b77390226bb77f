// Measures the chunk plan in virtual time: time until all VMs hold the weights, relative to the lower bound given by
// the link rates.

#include <cstdlib>
#include <iostream>
#include <string>

#include "exchange_sim.h"

namespace plantain::standin {
namespace {

constexpr uint64_t kDefaultSeed = 20261204;

uint64_t GetSeed() {
  const char* text = std::getenv("SEED");
  return text == nullptr ? kDefaultSeed : std::strtoull(text, nullptr, 10);
}

void Print(const std::string& name, const ExchangeSimOptions& options) {
  const ExchangeSimResult result = RunExchangeSim(options);
  std::cout << "{\"bench\":\"exchange\",\"case\":\"" << name << "\",\"n\":" << options.vms
            << ",\"zones\":" << options.zones << ",\"time_ratio\":" << result.seconds / result.ideal_seconds
            << ",\"limit_s\":" << result.ideal_seconds << ",\"origin_copies\":" << result.origin_copies
            << ",\"shared_copies\":" << result.shared_copies << ",\"wasted_copies\":" << result.wasted_copies
            << ",\"finished\":" << result.finished << ",\"alive\":" << result.alive
            << ",\"max_sources\":" << result.max_sources << "}" << std::endl;
}

int Run() {
  ExchangeSimOptions options;
  options.seed = GetSeed();
  std::cout << "seed " << options.seed << std::endl;
  for (const size_t n : {1, 5, 15, 50, 150}) {
    options.vms = n;
    options.zones = n < 3 ? 1 : 3;
    Print("plain", options);
  }
  options.vms = 400;
  options.zones = 1;
  Print("one_zone", options);
  options.vms = 150;
  options.zones = 3;
  options.corrupt_share = 0.05;
  options.stalled_share = 0.2;
  options.killed_share = 0.1;
  Print("faults", options);
  return 0;
}

}  // namespace
}  // namespace plantain::standin

int main() { return plantain::standin::Run(); }

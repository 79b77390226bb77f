// Load patterns in which kinds of requests of different priority together need more slots than there are.

#include <catch2/catch.hpp>

#include "overload_sim.h"

namespace plantain {
namespace {

OverloadOptions MakeOptions(size_t zones, size_t entries, double load) {
  OverloadOptions options;
  options.zones = zones;
  options.entries = entries;
  options.load = load;
  options.slots = 12;
  // Parts of 381 requests/s.
  options.kinds = {{0, Milliseconds(400), 162.0 / 381, 3.2, 0.32},
                   {1, Milliseconds(400), 91.0 / 381, 1.3, 0.31},
                   {2, Milliseconds(1000), 128.0 / 381, 1, 0.38}};
  return options;
}

// Checks what holds for any mix of loads: more urgent kinds are served at least about as often and keep at least about
// as much of their value, none starves, and slots do not idle.
void CheckShares(const OverloadSim& sim, size_t from, size_t to) {
  std::vector<double> served;
  std::vector<double> value;
  int all_served = 0;
  int all_asked = 0;
  for (size_t kind = 0; kind < 3; ++kind) {
    const SecondOutcome outcome = sim.GetOutcome(kind, from, to);
    all_served += outcome.in_time + outcome.late;
    all_asked += outcome.asked;
    served.push_back(outcome.GetShareServed());
    value.push_back(sim.GetValueShare(kind, from, to));
  }
  const double in_use = sim.GetSlotsInUse(from, to);
  CAPTURE(value, served, in_use, sim.GetLongestLoad());
  for (size_t kind = 0; kind < 3; ++kind) {
    CHECK(served[kind] > 0.25 * all_served / all_asked);
    if (kind == 0) continue;
    CHECK(served[kind - 1] > served[kind] - 0.05);
    CHECK(value[kind - 1] > value[kind] - 0.15);
  }
  CHECK(in_use > 0.95);
}

// Guards against urgent requests that are refused or late while less urgent ones, whose targets are longer, are served:
// at one entry by the order of its queue, at many because each owns too few slots.
TEST_CASE("Under standing overload urgent requests are served first across all entries") {
  const auto [zones, entries, least] =
      GENERATE(std::tuple(1, 1, 0.9), std::tuple(1, 4, 0.85), std::tuple(3, 18, 0.6), std::tuple(3, 65, 0.45));
  const double load = GENERATE(1.1, 1.4, 1.8);
  CAPTURE(zones, entries, load);
  OverloadSim sim(MakeOptions(zones, entries, load));
  sim.Run(std::chrono::seconds(8));
  CheckShares(sim, 2, 6);
  CHECK(sim.GetValueShare(0, 2, 6) > least);
}

// Guards against a burst of one kind that starves the others, or that makes urgent requests late.
TEST_CASE("A burst of one kind leaves the other kinds their floors") {
  const auto [zones, entries] = GENERATE(std::tuple(1, 1), std::tuple(1, 4), std::tuple(3, 18), std::tuple(3, 65));
  const size_t kind = GENERATE(0, 1, 2);
  const double burst = GENERATE(1.5, 2.4);
  CAPTURE(zones, entries, kind, burst);
  OverloadOptions options = MakeOptions(zones, entries, 1.1);
  options.burst_kind = kind;
  options.burst = burst;
  options.burst_at = std::chrono::seconds(2);
  options.burst_length = std::chrono::seconds(3);
  OverloadSim sim(options);
  sim.Run(std::chrono::seconds(7));
  CheckShares(sim, 2, 5);
}

// Guards against slots that stay with an entry that is gone, and against an entry that takes slots twice because it
// hears no other one.
TEST_CASE("The order holds when an entry is killed or cut off") {
  const size_t entries = GENERATE(4, 18, 65);
  const bool is_killed = GENERATE(true, false);
  CAPTURE(entries, is_killed);
  OverloadOptions options = MakeOptions(1, entries, 1.3);
  (is_killed ? options.killed_at : options.cut_off_at) = std::chrono::seconds(2);
  OverloadSim sim(options);
  sim.Run(std::chrono::seconds(11));
  // After the other entries have noticed it.
  CheckShares(sim, 5, 9);
}

}  // namespace
}  // namespace plantain

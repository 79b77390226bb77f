// Load patterns in which callers offer more than the endpoints can serve, and come back after a refusal.

#include <catch2/catch.hpp>

#include "overload_sim.h"

namespace plantain {
namespace {

OverloadOptions MakeOptions(size_t zones, size_t entries, double load) {
  OverloadOptions options;
  options.zones = zones;
  options.entries = entries;
  options.load = load;
  return options;
}

// Guards against a standing state of late service: requests queue at endpoints, or callers that were told to return
// take the slots of new ones, so that nearly all answers are late although as many are served as could be in time.
TEST_CASE("Under standing overload the capacity goes to requests that can be in time") {
  const auto [zones, entries, load] =
      GENERATE(std::tuple(1, 1, 1.6), std::tuple(3, 4, 1.6), std::tuple(3, 12, 1.6), std::tuple(5, 60, 1.6),
               std::tuple(5, 60, 1.05), std::tuple(3, 4, 5.0), std::tuple(5, 60, 5.0));
  CAPTURE(zones, entries, load);
  OverloadSim sim(MakeOptions(zones, entries, load));
  sim.Run(std::chrono::seconds(10));
  // Of what the endpoints could serve.
  const double share = sim.GetShareInTime(3, 8) * load;
  CHECK(share > 0.8);
}

// Guards against an overload that outlasts its cause because callers that return keep the fleet busy with late work.
TEST_CASE("Service in time is back soon after an outage of all endpoints") {
  const auto [zones, entries, outage_s] = GENERATE(std::tuple(1, 1, 5), std::tuple(3, 4, 2), std::tuple(3, 12, 5),
                                                   std::tuple(5, 60, 2), std::tuple(5, 60, 5));
  CAPTURE(zones, entries, outage_s);
  OverloadOptions options = MakeOptions(zones, entries, 1.05);
  options.outage_at = std::chrono::seconds(5);
  options.outage = std::chrono::seconds(outage_s);
  OverloadSim sim(options);
  sim.Run(std::chrono::seconds(14 + outage_s));
  const double before = sim.GetShareInTime(2, 5);
  // Two seconds and the time of one answer after the end of the outage.
  const double after = sim.GetShareInTime(8 + outage_s, 12 + outage_s);
  CHECK(before > 0.75);
  CHECK(after > 0.9 * before);
}

}  // namespace
}  // namespace plantain

#include <catch2/catch.hpp>

#include "link_relay.h"

namespace plantain::standin {
namespace {

const LinkNetwork::Direction kPrahaToBrno{{"praha", "brno"}, {"cechy", "morava"}, Milliseconds(1)};
const LinkNetwork::Direction kBrnoToPraha{{"brno", "praha"}, {"morava", "cechy"}, Milliseconds(1)};
const LinkNetwork::Direction kPrahaToOstrava{{"praha", "ostrava"}, {"cechy", "morava"}, Milliseconds(1)};
const LinkNetwork::Direction kBrnoToOstrava{{"brno", "ostrava"}, {"morava", "morava"}, Milliseconds(1)};

// Guards against a separate rate limit for each zone pair, which would hide that the zones of a region share one link.
TEST_CASE("Zones of two regions share one rate limit in each direction") {
  VirtualClock clock;
  LinkNetwork network(clock, 1'000'000);
  CHECK(network.Transmit(kPrahaToBrno, 10'000) == Milliseconds(1));

  SECTION("bytes above the burst are delayed by the rate limit") {
    CHECK(network.Transmit(kPrahaToBrno, 100'000) == Milliseconds(101));
  }

  SECTION("traffic to another zone of the same region queues behind them") {
    network.Transmit(kPrahaToBrno, 100'000);
    CHECK(network.Transmit(kPrahaToOstrava, 10'000) == Milliseconds(111));
  }

  SECTION("the opposite direction is not delayed") {
    network.Transmit(kPrahaToBrno, 100'000);
    CHECK(network.Transmit(kBrnoToPraha, 10'000) == Milliseconds(1));
  }

  SECTION("traffic within a region is not limited") {
    CHECK(network.Transmit(kBrnoToOstrava, 100'000'000) == Milliseconds(1));
  }

  SECTION("bytes are counted by zone pair and direction") {
    network.Transmit(kBrnoToPraha, 5);
    CHECK(network.GetStats().at({"praha", "brno"}).bytes == 10'000);
    CHECK(network.GetStats().at({"brno", "praha"}).bytes == 5);
  }
}

// Guards against a partition that blocks one direction only, or that is removed by healing a different pair.
TEST_CASE("A cut blocks both directions until that pair is healed") {
  VirtualClock clock;
  LinkNetwork network(clock, 0);
  network.SetCut("praha", "brno", true);
  CHECK(network.IsCut("praha", "brno"));
  CHECK(network.IsCut("brno", "praha"));
  CHECK_FALSE(network.IsCut("praha", "ostrava"));

  SECTION("healing another pair has no effect") {
    network.SetCut("praha", "ostrava", false);
    CHECK(network.IsCut("praha", "brno"));
  }

  SECTION("the order of the zones does not matter when healing") {
    network.SetCut("brno", "praha", false);
    CHECK_FALSE(network.IsCut("praha", "brno"));
  }
}

// Guards against a one-way cut that also blocks the opposite direction, or that remains after the pair is healed.
TEST_CASE("A one-way cut blocks one direction until the pair is healed") {
  VirtualClock clock;
  LinkNetwork network(clock, 0);
  network.SetOneWayCut("praha", "brno", true);
  CHECK(network.IsCut("praha", "brno"));
  CHECK_FALSE(network.IsCut("brno", "praha"));
  network.SetCut("brno", "praha", false);
  CHECK_FALSE(network.IsCut("praha", "brno"));
}

}  // namespace
}  // namespace plantain::standin

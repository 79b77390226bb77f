#include <catch2/catch.hpp>

#include "link_relay.h"

namespace plantain::standin {
namespace {

const LinkNetwork::Direction kPrahaToBrno{{"praha", "brno"}, {"cechy", "morava"}, Milliseconds(1)};
const LinkNetwork::Direction kBrnoToPraha{{"brno", "praha"}, {"morava", "cechy"}, Milliseconds(1)};
const LinkNetwork::Direction kPrahaToOstrava{{"praha", "ostrava"}, {"cechy", "morava"}, Milliseconds(1)};
const LinkNetwork::Direction kBrnoToOstrava{{"brno", "ostrava"}, {"morava", "morava"}, Milliseconds(1)};

// Guards against a link that gives each zone pair a rate of its own, which would hide that regions share one link.
TEST_CASE("Zones of two regions share one rate in each direction") {
  VirtualClock clock;
  LinkNetwork network(clock, 1'000'000);
  CHECK(network.Transmit(kPrahaToBrno, 10'000) == Milliseconds(1));

  SECTION("bytes above the burst wait for the rate") {
    CHECK(network.Transmit(kPrahaToBrno, 100'000) == Milliseconds(101));
  }

  SECTION("another zone of the same region waits behind them") {
    network.Transmit(kPrahaToBrno, 100'000);
    CHECK(network.Transmit(kPrahaToOstrava, 10'000) == Milliseconds(111));
  }

  SECTION("the other direction does not") {
    network.Transmit(kPrahaToBrno, 100'000);
    CHECK(network.Transmit(kBrnoToPraha, 10'000) == Milliseconds(1));
  }

  SECTION("zones of one region have no limit") {
    CHECK(network.Transmit(kBrnoToOstrava, 100'000'000) == Milliseconds(1));
  }

  SECTION("bytes are counted by zone pair and direction") {
    network.Transmit(kBrnoToPraha, 5);
    CHECK(network.GetStats().at({"praha", "brno"}).bytes == 10'000);
    CHECK(network.GetStats().at({"brno", "praha"}).bytes == 5);
  }
}

// Guards against a partition that stops one direction only, or that a heal of another pair lifts.
TEST_CASE("A cut holds in both directions until that pair is healed") {
  VirtualClock clock;
  LinkNetwork network(clock, 0);
  network.SetCut("praha", "brno", true);
  CHECK(network.IsCut("praha", "brno"));
  CHECK(network.IsCut("brno", "praha"));
  CHECK_FALSE(network.IsCut("praha", "ostrava"));

  SECTION("a heal of another pair changes nothing") {
    network.SetCut("praha", "ostrava", false);
    CHECK(network.IsCut("praha", "brno"));
  }

  SECTION("a heal in the other order lifts it") {
    network.SetCut("brno", "praha", false);
    CHECK_FALSE(network.IsCut("praha", "brno"));
  }
}

// Guards against a one-way cut that stops the answers too, or that a heal of the pair leaves behind.
TEST_CASE("A one-way cut stops one direction until the pair is healed") {
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

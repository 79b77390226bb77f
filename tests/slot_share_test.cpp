#include "slot_share.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <numeric>

namespace plantain {
namespace {

const PoolName kPool("engines");
const ZoneName kPraha("praha-a");
const ZoneName kBrno("brno-a");

using ZoneSlots = std::map<ZoneName, double>;

std::vector<EntryDemand> MakeEntries(const std::vector<double>& demands, const ZoneName& zone = kPraha) {
  std::vector<EntryDemand> entries;
  for (const double demand : demands) {
    const VmId vm(zone.Get() + "-" + std::to_string(entries.size()));
    entries.push_back({vm, zone, {{kPool, demand}}});
  }
  return entries;
}

std::vector<EntryDemand> Join(std::vector<EntryDemand> entries, const std::vector<EntryDemand>& others) {
  entries.insert(entries.end(), others.begin(), others.end());
  return entries;
}

std::vector<uint32_t> Split(const std::vector<EntryDemand>& entries, const std::string& endpoint, uint32_t slots,
                            const ZoneSlots& zone_slots = {{kPraha, 16}}, const ZoneName& zone = kPraha) {
  std::vector<uint32_t> parts;
  for (const EntryDemand& entry : entries) {
    const SlotShares shares(entries, zone_slots, entry.entry, kPool);
    parts.push_back(GetOwnSlots(shares.GetRange(zone), EndpointId(endpoint), slots));
  }
  return parts;
}

uint32_t Sum(const std::vector<uint32_t>& parts) { return std::accumulate(parts.begin(), parts.end(), 0U); }

// Part of a zone's slots that the entries of another zone own.
double GetZoneShare(const std::vector<EntryDemand>& entries, const ZoneSlots& zone_slots, const ZoneName& entry_zone,
                    const ZoneName& endpoint_zone) {
  double share = 0;
  for (const EntryDemand& entry : entries) {
    if (entry.zone != entry_zone) continue;
    share += SlotShares(entries, zone_slots, entry.entry, kPool).GetRange(endpoint_zone).GetWidth();
  }
  return share;
}

// Guards against shares that add up to more than the slots of an endpoint, or that leave slots unassigned.
TEST_CASE("The slots of an endpoint are partitioned completely among entries") {
  SECTION("for any demand") {
    rc::check([] {
      const auto demands = *rc::gen::container<std::vector<uint16_t>>(rc::gen::arbitrary<uint16_t>());
      RC_PRE(!demands.empty());
      const auto slots = *rc::gen::inRange<uint32_t>(1, 64);
      const auto endpoint = "i-" + std::to_string(*rc::gen::arbitrary<uint32_t>());
      const auto parts = Split(MakeEntries(std::vector<double>(demands.begin(), demands.end())), endpoint, slots);
      RC_ASSERT(Sum(parts) == slots);
    });
  }

  SECTION("for any number of zones, with and without entries, endpoints and demand") {
    rc::check([] {
      std::vector<EntryDemand> entries;
      ZoneSlots zone_slots;
      const auto zones = *rc::gen::inRange(1, 7);
      for (int i = 0; i < zones; ++i) {
        const ZoneName zone("z" + std::to_string(i));
        const auto demands =
            *rc::gen::resize(30, rc::gen::container<std::vector<uint16_t>>(rc::gen::arbitrary<uint16_t>()));
        entries = Join(std::move(entries), MakeEntries(std::vector<double>(demands.begin(), demands.end()), zone));
        zone_slots[zone] = *rc::gen::inRange(0, 400);
      }
      RC_PRE(!entries.empty());
      const auto slots = *rc::gen::inRange<uint32_t>(1, 64);
      for (const auto& [zone, count] : zone_slots)
        RC_ASSERT(Sum(Split(entries, "i-7", slots, zone_slots, zone)) == slots);
    });
  }

  SECTION("in proportion to demand") {
    CHECK(Split(MakeEntries({200, 100, 100}), "i-1", 16) == std::vector<uint32_t>{8, 4, 4});
    CHECK(Split(MakeEntries({0, 0, 0, 0}), "i-1", 16) == std::vector<uint32_t>{4, 4, 4, 4});
  }

  SECTION("an entry without demand keeps a minimum share, and a single entry gets all slots") {
    const auto entries = MakeEntries({300, 0});
    const ShareRange range = SlotShares(entries, {{kPraha, 16}}, entries[1].entry, kPool).GetRange(kPraha);
    CHECK(range.to == 1);
    CHECK(range.from < 0.96);
    CHECK(Split(MakeEntries({5}), "i-1", 16) == std::vector<uint32_t>{16});
    CHECK(GetOwnSlots(SlotShares({}, {}, VmId("a"), kPool).GetRange(kPraha), EndpointId("i-1"), 16) == 16);
  }

  SECTION("with more entries than slots, each entry has slots at some endpoints") {
    const auto entries = MakeEntries(std::vector<double>(16, 10.0));
    std::vector<uint32_t> sums(entries.size());
    for (int i = 0; i < 52; ++i) {
      const auto parts = Split(entries, "i-" + std::to_string(i), 12);
      for (size_t at = 0; at < parts.size(); ++at) sums[at] += parts[at];
    }
    // An equal share is 39 slots.
    for (const uint32_t sum : sums) CHECK((sum > 28 && sum < 50));
  }
}

// Guards against needless traffic between zones, and against a zone that queues while another one has room.
TEST_CASE("A zone's slots go to its own entries first, and the rest where demand exceeds the slots") {
  const auto balanced = Join(MakeEntries({10, 10}), MakeEntries({10, 10}, kBrno));

  SECTION("zones that have what they need share almost nothing") {
    const ZoneSlots zone_slots{{kPraha, 100}, {kBrno, 100}};
    CHECK(GetZoneShare(balanced, zone_slots, kPraha, kPraha) > 0.97);
    CHECK(GetZoneShare(balanced, zone_slots, kBrno, kPraha) < 0.03);
    CHECK(GetZoneShare(balanced, zone_slots, kBrno, kPraha) > 0);
  }
  SECTION("a zone with less than its part gets slots elsewhere") {
    const ZoneSlots zone_slots{{kPraha, 150}, {kBrno, 50}};
    CHECK(GetZoneShare(balanced, zone_slots, kBrno, kPraha) == Approx(50.0 / 150));
    CHECK(GetZoneShare(balanced, zone_slots, kPraha, kBrno) < 0.03);
  }
  SECTION("a zone whose endpoints are all gone gets its part in the others") {
    const ZoneSlots zone_slots{{kPraha, 100}, {kBrno, 0}};
    CHECK(GetZoneShare(balanced, zone_slots, kBrno, kPraha) == Approx(0.5));
  }
  SECTION("a zone without entries is shared by the others") {
    const auto entries = MakeEntries({10, 10});
    CHECK(GetZoneShare(entries, {{kPraha, 100}, {kBrno, 100}}, kPraha, kBrno) == Approx(1));
  }
}

}  // namespace
}  // namespace plantain

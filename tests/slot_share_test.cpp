#include "slot_share.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <numeric>

namespace plantain {
namespace {

const PoolName kPool("engines");

std::vector<EntryDemand> MakeEntries(const std::vector<double>& demands) {
  std::vector<EntryDemand> entries;
  for (const double demand : demands) {
    entries.push_back({VmId("10.0.0." + std::to_string(entries.size())), {{kPool, demand}}});
  }
  return entries;
}

std::vector<uint32_t> Split(const std::vector<EntryDemand>& entries, const std::string& endpoint, uint32_t slots) {
  std::vector<uint32_t> parts;
  for (const EntryDemand& entry : entries) {
    parts.push_back(GetOwnSlots(GetShareRange(entries, entry.entry, kPool), EndpointId(endpoint), slots));
  }
  return parts;
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
      RC_ASSERT(std::accumulate(parts.begin(), parts.end(), 0U) == slots);
    });
  }

  SECTION("in proportion to demand") {
    CHECK(Split(MakeEntries({200, 100, 100}), "i-1", 16) == std::vector<uint32_t>{8, 4, 4});
    CHECK(Split(MakeEntries({0, 0, 0, 0}), "i-1", 16) == std::vector<uint32_t>{4, 4, 4, 4});
  }

  SECTION("an entry without demand keeps a minimum share, and a single entry gets all slots") {
    const auto entries = MakeEntries({300, 0});
    CHECK(GetShareRange(entries, entries[1].entry, kPool).to == 1);
    CHECK(GetShareRange(entries, entries[1].entry, kPool).from < 0.96);
    CHECK(Split(MakeEntries({5}), "i-1", 16) == std::vector<uint32_t>{16});
    CHECK(GetOwnSlots(GetShareRange({}, VmId("a"), kPool), EndpointId("i-1"), 16) == 16);
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

}  // namespace
}  // namespace plantain

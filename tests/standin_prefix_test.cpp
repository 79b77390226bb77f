#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "prefix_cache.h"

namespace plantain::standin {
namespace {

constexpr uint64_t kSeed = 20261204;

std::vector<uint64_t> GetEventNumbers(const PrefixCache& cache, uint64_t after) {
  std::vector<uint64_t> numbers;
  const nlohmann::json answer = nlohmann::json::parse(cache.GetEventsJson(after));
  for (const auto& event : answer["events"]) numbers.push_back(event["n"]);
  return numbers;
}

// Guards against a cache without eviction, and against events that are published without delay or loss: routing would
// then never be tested with stale hints.
TEST_CASE("The engine keeps the most recently used prefixes and publishes events with delay and loss") {
  VirtualClock clock;
  SeededRandom random(kSeed);

  SECTION("with a cache of two prefixes and no event loss") {
    PrefixCache cache(clock, random, {2, Milliseconds(500), 0});
    CHECK_FALSE(cache.LookUpOrInsert("a"));
    CHECK_FALSE(cache.LookUpOrInsert("b"));
    CHECK(cache.LookUpOrInsert("a"));

    SECTION("a third prefix evicts the least recently used one") {
      CHECK_FALSE(cache.LookUpOrInsert("c"));
      CHECK(cache.LookUpOrInsert("a"));
      CHECK_FALSE(cache.LookUpOrInsert("b"));
    }

    SECTION("events become visible only after the lag") {
      clock.Advance(Milliseconds(499));
      CHECK(GetEventNumbers(cache, 0).empty());
      clock.Advance(Milliseconds(1));
      CHECK(GetEventNumbers(cache, 0) == std::vector<uint64_t>{1, 2});
      CHECK(GetEventNumbers(cache, 1) == std::vector<uint64_t>{2});
    }
  }

  SECTION("a lost event leaves a gap in the sequence numbers") {
    PrefixCache cache(clock, random, {1000, Duration(0), 0.5});
    for (int i = 0; i < 100; ++i) cache.LookUpOrInsert(std::to_string(i));
    const std::vector<uint64_t> numbers = GetEventNumbers(cache, 0);
    CHECK(numbers.size() > 20);
    CHECK(numbers.size() < 80);
    CHECK(numbers.back() > numbers.size());
  }
}

}  // namespace
}  // namespace plantain::standin

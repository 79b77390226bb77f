#include "version_pick.h"

#include <catch2/catch.hpp>

#include "event_splitter.h"

namespace plantain {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const ModelName kModel("m");

WantedWeights MakePublished(uint64_t version, Duration at) { return {kModel, WeightVersion(version), kStart + at}; }

// Guards against a fleet that abandons a nearly complete fetch for each newer version and so misses every limit.
TEST_CASE("The version to fetch next minimizes the time without usable weights") {
  const VersionTimes times{seconds(8), Milliseconds(4300), Milliseconds(2800), Milliseconds(1300)};
  const WeightVersion one(1);

  SECTION("a single version") {
    CHECK(PickVersion({MakePublished(2, {})}, one, times, kStart) == WeightVersion(2));
    CHECK(PickVersion({}, one, times, kStart) == one);
  }
  SECTION("a newer version published shortly afterwards replaces it") {
    CHECK(PickVersion({MakePublished(2, {}), MakePublished(3, Milliseconds(500))}, one, times,
                      kStart + Milliseconds(600)) == WeightVersion(3));
  }
  SECTION("a nearly complete fetch is finished first, also while endpoints swap") {
    const std::vector<WantedWeights> published = {MakePublished(2, {}), MakePublished(3, seconds(4))};
    CHECK(PickVersion(published, one, times, kStart + seconds(4)) == WeightVersion(2));
    CHECK(PickVersion(published, one, times, kStart + Milliseconds(5500)) == WeightVersion(2));
    CHECK(PickVersion(published, WeightVersion(2), times, kStart + seconds(6)) == WeightVersion(3));
  }
  SECTION("a fetch that is late is still finished first, because that of the newer version has not begun") {
    const VersionTimes long_limit{seconds(10), Milliseconds(4300), Milliseconds(2800), Milliseconds(1300)};
    const std::vector<WantedWeights> published = {MakePublished(2, {}), MakePublished(3, seconds(4))};
    CHECK(PickVersion(published, one, long_limit, kStart + Milliseconds(6900)) == WeightVersion(2));
    CHECK(PickVersion(published, one, long_limit, kStart + Milliseconds(8500)) == WeightVersion(2));
  }
  SECTION("the choice does not return to a version that was given up") {
    const std::vector<WantedWeights> published = {MakePublished(2, {}), MakePublished(3, Milliseconds(1500))};
    for (int ms = 1500; ms < 9000; ms += 100) {
      REQUIRE(PickVersion(published, one, times, kStart + Milliseconds(ms)) == WeightVersion(3));
    }
  }
  SECTION("an overdue version is skipped") {
    CHECK(PickVersion({MakePublished(2, {}), MakePublished(3, seconds(4))}, one, times, kStart + seconds(20)) ==
          WeightVersion(3));
  }
  SECTION("endpoints wait for each other only until entries stop using the old weights") {
    CHECK(GetLoadDeadline({MakePublished(2, {})}, one, times) == kStart + Milliseconds(6700));
    CHECK_FALSE(GetLoadDeadline({MakePublished(2, {})}, WeightVersion(2), times).has_value());
  }
}

// Guards against events that are split, repeated or modified.
TEST_CASE("A stream is split into complete, unmodified events") {
  const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";
  SECTION("in pieces of any size") {
    for (size_t size = 1; size <= text.size(); ++size) {
      EventSplitter splitter;
      std::string out;
      for (size_t at = 0; at < text.size(); at += size) out += splitter.Take(text.substr(at, size));
      CHECK(out == text);
      CHECK(splitter.IsAtBoundary());
      CHECK(splitter.GetLastId() == 3U);
      CHECK_FALSE(splitter.HasGap());
    }
  }
  SECTION("an incomplete event is held back") {
    EventSplitter splitter;
    CHECK(splitter.Take("id: 1\ndata").empty());
    CHECK_FALSE(splitter.IsAtBoundary());
  }
  SECTION("events before the resumption point are dropped, and a gap is detected") {
    EventSplitter splitter(1);
    CHECK(splitter.Take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK_FALSE(splitter.HasGap());
    splitter.Take("id: 4\ndata: d\n\n");
    CHECK(splitter.HasGap());
  }
}

}  // namespace
}  // namespace plantain

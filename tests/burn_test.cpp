#include <catch2/catch.hpp>
#include <sstream>

#include "burn_report.h"
#include "burn_sample.h"
#include "burn_window.h"
#include "failure_type.h"
#include "random.h"

namespace plantain {
namespace {

constexpr int64_t kStart = 1'790'000'040;

BurnSeriesKey MakeKey(bool is_bad, const std::string& zone = "praha") {
  BurnSeriesKey key;
  key.measure = BurnMeasure::kAvailability;
  key.is_bad = is_bad;
  key.zone = zone;
  key.vm = is_bad ? "vm-7" : "";
  key.reason = is_bad ? "overloaded" : "";
  return key;
}

// Guards against wrong burn rates after process restarts and gaps in the scrapes.
TEST_CASE("Burn windows count events correctly across restarts and gaps") {
  BurnAccumulator accumulator(kBurnPeriod);
  const BurnSeriesIndex good = accumulator.DefineSeries(MakeKey(false));
  const BurnSeriesIndex bad = accumulator.DefineSeries(MakeKey(true));
  const auto add_scrape = [&](int64_t second, uint64_t good_value, uint64_t bad_value) {
    const std::vector<BurnValue> values = {{good, good_value}, {bad, bad_value}};
    accumulator.AddScrape(UnixSeconds(kStart + second), 0, values);
  };

  SECTION("given a first scrape, earlier events are ignored because their time is unknown") {
    add_scrape(0, 1'000'000, 1000);
    CHECK(accumulator.GetWindow(BurnMeasure::kAvailability, kBurnPeriod).GetTotal() == 0);

    SECTION("the second scrape adds the difference") {
      add_scrape(60, 1'000'090, 1010);
      const BurnCount count = accumulator.GetWindow(BurnMeasure::kAvailability, std::chrono::hours(1));
      CHECK(count.good == Approx(90));
      CHECK(count.bad == Approx(10));
      CHECK(count.GetBadShare() == Approx(0.1));

      SECTION("after a restart resets the counters, only the new events are added") {
        add_scrape(120, 40, 2);
        const BurnCount after = accumulator.GetWindow(BurnMeasure::kAvailability, std::chrono::hours(1));
        CHECK(after.good == Approx(130));
        CHECK(after.bad == Approx(12));
        CHECK(accumulator.GetResets() == 1);
      }

      SECTION("events after a gap of ten minutes are distributed evenly over the gap") {
        add_scrape(60 + 600, 1'000'690, 1010);
        CHECK(accumulator.GetGaps() == 1);
        CHECK(accumulator.GetWindow(BurnMeasure::kAvailability, std::chrono::minutes(5)).good == Approx(300));
        CHECK(accumulator.GetWindow(BurnMeasure::kAvailability, std::chrono::hours(1)).good == Approx(690));
      }

      SECTION("a late or duplicate scrape is discarded") {
        add_scrape(60, 1'000'190, 1110);
        add_scrape(30, 1'000'290, 1210);
        CHECK(accumulator.GetWindow(BurnMeasure::kAvailability, std::chrono::hours(1)).good == Approx(90));
      }
    }
  }

  SECTION("given a series that is new in a later scrape, its whole value is counted") {
    add_scrape(0, 10, 0);
    const BurnSeriesIndex new_series = accumulator.DefineSeries(MakeKey(true, "brno"));
    const std::vector<BurnValue> values = {{new_series, 7}};
    accumulator.AddScrape(UnixSeconds(kStart + 60), 0, values);
    CHECK(accumulator.GetWindow(BurnMeasure::kAvailability, std::chrono::hours(1)).bad == Approx(7));
    const auto zones = accumulator.GetTopContributors(BurnMeasure::kAvailability, &BurnSeriesKey::zone, 5);
    REQUIRE(zones.size() == 1);
    CHECK(zones.front().name == "brno");
  }
}

// Guards against an alert that fires on a short spike, or that keeps firing long after recovery.
TEST_CASE("A burn rule fires only while both windows exceed the threshold") {
  BurnAccumulator accumulator(kBurnPeriod);
  const BurnSeriesIndex good = accumulator.DefineSeries(MakeKey(false));
  const BurnSeriesIndex bad = accumulator.DefineSeries(MakeKey(true));
  uint64_t good_value = 0;
  uint64_t bad_value = 0;
  int64_t minute = 0;
  const auto run = [&](int64_t minutes, double bad_share) {
    for (int64_t i = 0; i < minutes; ++i) {
      good_value += static_cast<uint64_t>(1000 * (1 - bad_share));
      bad_value += static_cast<uint64_t>(1000 * bad_share);
      const std::vector<BurnValue> values = {{good, good_value}, {bad, bad_value}};
      accumulator.AddScrape(UnixSeconds(kStart + 60 * minute++), 0, values);
    }
  };
  const auto is_paging = [&] {
    const BurnReport report = MakeBurnReport("ustav", {{BurnMeasure::kAvailability, 0.999, 1}}, accumulator);
    return report.measures.front().rules.front().is_firing;
  };

  run(120, 0);
  CHECK_FALSE(is_paging());

  SECTION("given two bad minutes, the long window prevents the alert") {
    run(2, 0.05);
    CHECK_FALSE(is_paging());
  }

  SECTION("given 30 minutes with 5% bad events, the page alert fires") {
    run(30, 0.05);
    CHECK(is_paging());

    SECTION("the alert ends within the short window after recovery") {
      run(6, 0);
      CHECK_FALSE(is_paging());
    }
  }
}

// Guards against recordings that differ when read back, and against crashes on damaged files.
TEST_CASE("Recorded scrapes are read back unchanged") {
  std::stringstream file;
  SeededRandom random(20261204);
  BurnAccumulator direct(kBurnPeriod);
  {
    BurnSampleWriter writer(file);
    const BurnSeriesIndex good = writer.DefineSeries(MakeKey(false));
    const BurnSeriesIndex bad = writer.DefineSeries(MakeKey(true));
    direct.DefineSeries(MakeKey(false));
    direct.DefineSeries(MakeKey(true));
    std::vector<uint64_t> counters(4);
    for (int64_t minute = 0; minute < 200; ++minute) {
      for (uint32_t process = 0; process < 1; ++process) {
        counters[0] = random.GetBelow(50) == 0 ? 0 : counters[0] + random.GetBelow(1000);
        counters[1] += random.GetBelow(3);
        const std::vector<BurnValue> values = {{good, counters[0]}, {bad, counters[1]}};
        writer.Write(UnixSeconds(kStart + 60 * minute), process, values);
        direct.AddScrape(UnixSeconds(kStart + 60 * minute), process, values);
      }
    }
  }
  BurnAccumulator read(kBurnPeriod);

  SECTION("given an intact file, both accumulators agree") {
    REQUIRE(ReadBurnSamples(file, read).ok());
    const BurnCount expected = direct.GetWindow(BurnMeasure::kAvailability, kBurnPeriod);
    const BurnCount actual = read.GetWindow(BurnMeasure::kAvailability, kBurnPeriod);
    CHECK(actual.good == Approx(expected.good));
    CHECK(actual.bad == Approx(expected.bad));
    CHECK(read.GetResets() == direct.GetResets());
  }

  SECTION("given a damaged file, reading fails with kProtocol or ends without error") {
    const std::string content = file.str();
    for (int i = 0; i < 300; ++i) {
      std::string damaged = content;
      damaged[random.GetBelow(damaged.size())] = static_cast<char>(random.GetBits());
      std::istringstream in(damaged);
      BurnAccumulator accumulator(kBurnPeriod);
      const absl::Status status = ReadBurnSamples(in, accumulator);
      if (!status.ok()) CHECK(GetFailureCode(status) == FailureCode::kProtocol);
    }
  }
}

// Guards against labels in `/metrics` that are missed or confused with one another.
TEST_CASE("Service-level counters are parsed with their labels") {
  const std::string text =
      "# HELP plantain_slo_events_total x\n"
      "plantain_slo_events_total{endpoint=\"vm-3\",measure=\"availability\",outcome=\"bad\",reason=\"overloaded\","
      "workspace=\"large\",zone=\"brno\"} 12\n"
      "plantain_slo_events_total{measure=\"token_gap\",outcome=\"good\",workspace=\"small\",zone=\"praha\"} 1e+06\n"
      "plantain_slo_events_total{measure=\"bogus\",outcome=\"good\"} 5\n"
      "other_total{measure=\"availability\"} 9\n";
  const auto series = ParseScrape("entry-1", text);
  REQUIRE(series.size() == 2);
  CHECK(series[0].key.vm == "vm-3");
  CHECK(series[0].key.is_bad);
  CHECK(series[0].key.reason == "overloaded");
  CHECK(series[0].value == 12);
  CHECK(series[1].key.vm.empty());
  CHECK(series[1].key.process == "entry-1");
  CHECK(series[1].key.measure == BurnMeasure::kTokenGap);
  CHECK(series[1].value == 1'000'000);
}

}  // namespace
}  // namespace plantain

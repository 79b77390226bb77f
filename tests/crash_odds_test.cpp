#include "crash_odds.h"

#include <catch2/catch.hpp>
#include <vector>

#include "attempt_loss_rate.h"

namespace plantain {
namespace {

constexpr LossWeights kWeights = {0.85, 1.0, 0.85, false};

// Returns a loss that lasted from one time to another, in milliseconds.
AttemptLoss MakeLoss(uint64_t run, int64_t sent_ms, int64_t at_ms) {
  return {EndpointRun(run), TimePoint(Milliseconds(sent_ms)), TimePoint(Milliseconds(at_ms))};
}

// Returns losses one after the other, each of which lasted for some time.
std::vector<AttemptLoss> MakeSeries(int count, int64_t running_ms) {
  std::vector<AttemptLoss> losses;
  for (int i = 0; i < count; ++i) {
    losses.push_back(MakeLoss(static_cast<uint64_t>(i), i * running_ms, (i + 1) * running_ms));
  }
  return losses;
}

// Guards against both errors: a content that ends endpoints and is never blocked, and a sound one that is.
TEST_CASE("The odds against a content grow with each end that chance does not explain") {
  LossStatistics statistics;
  statistics.totals.other_losses = 0.5;
  statistics.totals.other_running = std::chrono::seconds(200);

  SECTION("ends soon after the send, while hardly any other attempt loses its endpoint") {
    statistics.losses = MakeSeries(5, 60);
    CHECK(GetLogOdds(statistics, kWeights) == Approx(5 * 0.85));
    SECTION("are as much evidence anywhere in a long answer") {
      statistics.losses = MakeSeries(5, 1000);
      CHECK(GetLogOdds(statistics, kWeights) == Approx(5 * 0.85));
    }
    SECTION("and more at the begin of the answer") {
      for (AttemptLoss& loss : statistics.losses) loss.progress = AnswerProgress::kHeader;
      CHECK(GetLogOdds(statistics, kWeights) == Approx(5));
    }
  }
  SECTION("ends that are as frequent without the content are no evidence") {
    statistics.totals.other_losses = 200;
    statistics.losses = MakeSeries(8, 1000);
    CHECK(GetLogOdds(statistics, kWeights) < 0.5);
  }
  SECTION("ends of a content whose other attempts survive for long are none either") {
    statistics.losses = MakeSeries(8, 60);
    statistics.totals.survived = std::chrono::seconds(2000);
    CHECK(GetLogOdds(statistics, kWeights) < 0.5);
  }
  SECTION("no end is no evidence") { CHECK(GetLogOdds(statistics, kWeights) == 0); }
}

// Guards against a power failure that counts as evidence against each content that was at many endpoints.
TEST_CASE("Ends under attempts that ran at the same time count less than ends one after the other") {
  std::vector<AttemptLoss> losses;
  SECTION("at one moment") {
    for (uint64_t run = 0; run < 8; ++run) {
      AttemptLoss loss = MakeLoss(run, 0, 1000 + static_cast<int64_t>(run));
      CountAtOnce(losses, loss);
      losses.push_back(loss);
    }
    CHECK(GetMaxLogOdds(losses, kWeights) == Approx(0));
    SECTION("also if only one of them is kept") {
      losses.resize(1);
      CHECK(GetMaxLogOdds(losses, kWeights) == Approx(0));
    }
    SECTION("but all at the begin of answers is no coincidence") {
      for (AttemptLoss& loss : losses) loss.progress = AnswerProgress::kHeader;
      CHECK(GetMaxLogOdds(losses, kWeights) == Approx(2));
    }
  }
  SECTION("within a second") {
    for (uint64_t run = 0; run < 8; ++run) losses.push_back(MakeLoss(run, 0, 1000 + static_cast<int64_t>(run) * 125));
    CHECK(GetMaxLogOdds(losses, kWeights) < 3);
  }
  SECTION("far apart they are nearly independent") {
    for (uint64_t run = 0; run < 6; ++run) losses.push_back(MakeLoss(run, 0, 1000 + static_cast<int64_t>(run) * 3000));
    CHECK(GetMaxLogOdds(losses, kWeights) > 5);
  }
  SECTION("the end that says least goes first when there is no room") {
    losses = MakeSeries(4, 100);
    losses.push_back(MakeLoss(9, 0, 401));
    RemoveLeastIndependent(losses, kWeights);
    REQUIRE(losses.size() == 4);
    CHECK(GetMaxLogOdds(losses, kWeights) == Approx(4 * 0.85));
  }
}

// Guards against ends that one content causes and that excuse it, because other requests were lost with them.
TEST_CASE("The base rate is measured on the attempts whose endpoints ended for other reasons") {
  VirtualClock clock;
  AttemptLossRate rate(clock);
  for (uint64_t i = 0; i < 100; ++i) rate.OnKept(std::chrono::seconds(1));
  for (uint64_t run = 0; run < 10; ++run) rate.OnLost(EndpointRun(run), Milliseconds(500));
  AttemptTotals totals;

  SECTION("all of them, unless something explains them") {
    rate.AddTo(totals, {});
    CHECK(totals.other_losses == Approx(10));
    CHECK(ToSeconds(totals.other_running) == Approx(105));
  }
  SECTION("runs that are explained do not count") {
    std::set<EndpointRun> explained;
    for (uint64_t run = 0; run < 10; ++run) explained.insert(EndpointRun(run));
    rate.AddTo(totals, explained);
    CHECK(totals.other_losses == 0);
    CHECK(ToSeconds(totals.other_running) == Approx(100));
  }
  SECTION("what was seen loses its weight in time") {
    clock.Advance(std::chrono::minutes(10));
    rate.AddTo(totals, {});
    CHECK(totals.other_losses < 0.001);
    CHECK(ToSeconds(totals.other_running) < 0.01);
  }
}

}  // namespace
}  // namespace plantain

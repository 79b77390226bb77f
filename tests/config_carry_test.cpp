#include "config_carry.h"

#include <catch2/catch.hpp>

namespace plantain {
namespace {

constexpr Duration kRetention = std::chrono::hours(1);

std::vector<VmId> MakeEntries(int count) {
  std::vector<VmId> entries;
  for (int i = 0; i < count; ++i) entries.emplace_back("entry-" + std::to_string(i));
  return entries;
}

// Guards against all checkpoints expiring from the log, and against many entries writing one at the same time.
TEST_CASE("Entries write a checkpoint at half the retention time in rank order") {
  VirtualClock clock;
  const std::vector<VmId> entries = MakeEntries(370);
  std::vector<CheckpointSchedule> schedules;
  for (const VmId& entry : entries) schedules.emplace_back(clock, entry, kRetention);
  const FoldStart start{LogOffset(7), clock.GetWallTime()};
  const auto count_due = [&](const std::optional<FoldStart>& newest) {
    size_t due = 0;
    for (CheckpointSchedule& schedule : schedules) due += schedule.IsDue(newest, entries) ? 1 : 0;
    return due;
  };

  SECTION("no entry writes without a start record or while it is recent") {
    CHECK(count_due(std::nullopt) == 0);
    clock.Advance(kRetention / 2 - std::chrono::seconds(1));
    CHECK(count_due(start) == 0);
  }

  SECTION("at half the retention time exactly one entry writes") {
    clock.Advance(kRetention / 2);
    CHECK(count_due(start) == 1);

    SECTION("once its checkpoint has been read no other entry writes") {
      const FoldStart newer{LogOffset(8), clock.GetWallTime()};
      clock.Advance(kRetention / 4);
      CHECK(count_due(newer) == 0);
    }
    SECTION("if it fails the next entries take over before the start record expires") {
      clock.Advance(std::chrono::seconds(3));
      CHECK(count_due(start) >= 2);
      clock.Advance(kRetention / 4);
      CHECK(count_due(start) == entries.size());
    }
    SECTION("an entry waits between two attempts") {
      for (CheckpointSchedule& schedule : schedules) {
        if (schedule.IsDue(start, entries)) schedule.RecordAttempt();
      }
      CHECK(count_due(start) == 0);
      clock.Advance(kRetention / 4);
      CHECK(count_due(start) == entries.size());
    }
  }
}

}  // namespace
}  // namespace plantain

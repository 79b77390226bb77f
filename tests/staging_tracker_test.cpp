#include "staging_tracker.h"

#include <catch2/catch.hpp>
#include <string>

namespace plantain {
namespace {

constexpr Duration kSettle = Milliseconds(1500);

// Stages all chunks of a manifest with two chunks.
void Stage(StagingTracker& tracker, const Digest& manifest) {
  REQUIRE(tracker.BeginManifest(manifest, 2));
  for (uint32_t i = 0; i < 2; ++i) {
    REQUIRE(tracker.BeginUpload(manifest));
    tracker.EndUpload(manifest, i, UploadEnd::kStored);
  }
}

// Guards against an engine that loads chunks of two versions, because newer chunks are staged between the check and the
// load order.
TEST_CASE("The staging area does not change between the check of its chunks and the engine's response") {
  const Digest two(std::string(32, '2'));
  const Digest three(std::string(32, '3'));
  VirtualClock clock;
  StagingTracker tracker(clock, kSettle);
  clock.Advance(kSettle);

  SECTION("pending puts are waited for and no further puts begin") {
    Stage(tracker, two);
    REQUIRE(tracker.BeginUpload(two));
    REQUIRE(tracker.Freeze(two));
    CHECK_FALSE(tracker.AreUploadsDone());
    CHECK_FALSE(tracker.BeginUpload(two));
    CHECK_FALSE(tracker.BeginManifest(three, 2));
    tracker.EndUpload(two, 0, UploadEnd::kStored);
    CHECK(tracker.AreUploadsDone());
    tracker.Release();
    CHECK(tracker.BeginManifest(three, 2));
  }
  SECTION("an area that was refilled with another manifest is not loaded") {
    Stage(tracker, two);
    REQUIRE(tracker.BeginManifest(three, 2));
    CHECK_FALSE(tracker.Freeze(two));
    CHECK(tracker.BeginUpload(three));
  }
  SECTION("an area that lacks a chunk is not loaded") {
    REQUIRE(tracker.BeginManifest(two, 2));
    REQUIRE(tracker.BeginUpload(two));
    tracker.EndUpload(two, 1, UploadEnd::kStored);
    CHECK_FALSE(tracker.Freeze(two));
  }
}

// Guards against chunks of a newer version in an area that an engine may still load for an earlier order.
TEST_CASE("A reserved staging area takes chunks of one manifest only") {
  const Digest two(std::string(32, '2'));
  const Digest three(std::string(32, '3'));
  VirtualClock clock;
  StagingTracker tracker(clock, kSettle);
  clock.Advance(kSettle);
  Stage(tracker, two);
  REQUIRE(tracker.Freeze(two));
  tracker.Reserve();
  CHECK(tracker.GetReserved() == two);

  SECTION("whatever time passes") {
    clock.Advance(std::chrono::hours(1));
    CHECK_FALSE(tracker.BeginManifest(three, 2));
    CHECK_FALSE(tracker.BeginUpload(three));
  }
  SECTION("and its content may be staged again") {
    tracker.Invalidate();
    CHECK_FALSE(tracker.BeginManifest(three, 2));
    Stage(tracker, two);
    CHECK(tracker.Freeze(two));
  }
  SECTION("for the settle time if it is released after that") {
    tracker.ReleaseAfterSettle();
    CHECK(tracker.GetReserved() == two);
    CHECK_FALSE(tracker.BeginManifest(three, 2));
    // Another order for the same weights does not shorten the time.
    REQUIRE(tracker.Freeze(two));
    tracker.Release();
    CHECK_FALSE(tracker.BeginManifest(three, 2));
    clock.Advance(kSettle);
    CHECK(tracker.GetReserved().IsEmpty());
    CHECK(tracker.BeginManifest(three, 2));
  }
  SECTION("until it is released") {
    tracker.Release();
    CHECK(tracker.GetReserved().IsEmpty());
    CHECK(tracker.BeginManifest(three, 2));
  }
}

// Guards against an engine that stores a chunk of an earlier version after the chunks of a newer one were checked.
TEST_CASE("Uploads without an answer may still be stored") {
  const Digest two(std::string(32, '2'));
  const Digest three(std::string(32, '3'));
  VirtualClock clock;
  StagingTracker tracker(clock, kSettle);
  clock.Advance(kSettle);
  REQUIRE(tracker.BeginManifest(two, 2));
  REQUIRE(tracker.BeginUpload(two));

  SECTION("one of another manifest is waited for") {
    tracker.EndUpload(two, 0, UploadEnd::kUnknown);
    Stage(tracker, three);
    REQUIRE(tracker.Freeze(three));
    CHECK_FALSE(tracker.AreUploadsDone());
    clock.Advance(kSettle);
    CHECK(tracker.AreUploadsDone());
  }
  SECTION("one of the same manifest changes nothing") {
    tracker.EndUpload(two, 0, UploadEnd::kUnknown);
    Stage(tracker, two);
    REQUIRE(tracker.Freeze(two));
    CHECK(tracker.AreUploadsDone());
  }
  SECTION("a refused one is not stored") {
    tracker.EndUpload(two, 0, UploadEnd::kRefused);
    Stage(tracker, three);
    REQUIRE(tracker.Freeze(three));
    CHECK(tracker.AreUploadsDone());
  }
}

// Guards against a process that starts while calls of the one before it are left at the engine.
TEST_CASE("The staging area takes no chunks right after the start") {
  const Digest two(std::string(32, '2'));
  VirtualClock clock;
  StagingTracker tracker(clock, kSettle);
  clock.Advance(kSettle - Milliseconds(1));
  CHECK_FALSE(tracker.BeginManifest(two, 2));
  CHECK_FALSE(tracker.BeginUpload(two));
  clock.Advance(Milliseconds(1));
  CHECK(tracker.BeginManifest(two, 2));
}

}  // namespace
}  // namespace plantain

#include "store_follower.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fleet_decoder.h"
#include "http_server.h"
#include "loopback_address.h"
#include "random.h"
#include "unlimited_caller_memory.h"

namespace plantain {
namespace {

constexpr Port kStorePort(29991);
constexpr char kEraField[] = "Store-Era";

// The store, as scripted by a test, and a follower that reads it. Both run on one loop.
struct FollowerFixture {
  FollowerFixture()
      : address(MakeLoopbackAddress(104)),
        random(1),
        decoder({}),
        mirror(loop, clock, decoder, std::chrono::seconds(8)),
        server(loop, MakeUnlimitedCallerMemory(), address, kStorePort, 0,
               [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                 HandleRead(request, responder);
               }),
        follower(loop, answer_memory, clock, random, mirror, MakeOptions()) {}

  hosted::StoreFollowerOptions MakeOptions() {
    hosted::StoreFollowerOptions options;
    options.is_needed = [this] { return is_needed; };
    options.lists_when_behind = [this] { return lists_when_behind; };
    options.store = {address, kStorePort};
    options.timeout = std::chrono::seconds(5);
    options.operator_wait = std::chrono::seconds(20);
    options.directory_period = Milliseconds(20);
    return options;
  }

  // Runs until a condition holds. The guard ends a test that would never end otherwise.
  bool RunUntil(const std::function<bool()>& is_done) {
    bool is_reached = false;
    const auto check = loop.RunEvery(Milliseconds(2), [&] {
      is_reached = is_reached || is_done();
      if (is_reached) loop.Stop();
    });
    const auto guard = loop.RunAfter(std::chrono::seconds(15), [&] { loop.Stop(); });
    loop.Restart();
    loop.Run();
    return is_reached;
  }

  void Start() {
    REQUIRE(server.Start().ok());
    REQUIRE(follower.Start().ok());
  }

  void HandleRead(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    const bool is_operator = GetQueryValue(request.target, "topic") == "keyed.op";
    const bool is_read = request.target.starts_with("/log-read");
    if (is_operator && !GetQueryValue(request.target, "wait_ms").empty()) {
      // A long poll is never answered.
      held.push_back(responder);
      return;
    }
    HttpResponse response;
    if (is_read) {
      ++reads;
      response.body = std::string(16, '\0');
    } else {
      listings += is_operator ? 1 : 0;
      response.body = R"({"entries":[)" + (is_operator ? entries : "") + R"(],"more_pages":false,"end":3})";
    }
    const std::string& stated = is_read && read_era.has_value() ? *read_era : era;
    if (!stated.empty()) response.headers.Add(kEraField, stated);
    responder->Send(std::move(response));
  }

  bool HasKey(const std::string& key) const { return mirror.GetRecords(FleetTopic::kOperator).Find(key) != nullptr; }

  // Base64 of `{}`.
  static std::string MakeEntry(const std::string& key) {
    return R"({"key":")" + key + R"(","value":"e30=","offset":1})";
  }

  MemoryBudget answer_memory{Bytes(64 * 1024 * 1024)};
  Loop loop;
  SystemClock clock;
  IpAddress address;
  SeededRandom random;
  hosted::HostedDecoder decoder;
  FleetMirror mirror;
  std::string era = "1";
  // What reads state in place of `era`, if set.
  std::optional<std::string> read_era;
  std::string entries = MakeEntry("evacuate/a");
  std::vector<std::shared_ptr<HttpResponder>> held;
  int reads = 0;
  int listings = 0;
  bool is_needed = true;
  bool lists_when_behind = false;
  HttpServer server;
  hosted::StoreFollower follower;
};

// Guards against a restore that an entry notices only when a long poll of the operators' topic, which was sent before
// the restore, has reached its timeout.
TEST_CASE("A new era that one topic shows ends the long poll of the other") {
  FollowerFixture fixture;
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.HasKey("evacuate/a") && fixture.held.size() == 1; }));
  const TimePoint before = fixture.clock.GetNow();
  fixture.era = "2";
  fixture.entries = FollowerFixture::MakeEntry("evacuate/b");
  REQUIRE(fixture.RunUntil([&] { return fixture.HasKey("evacuate/b"); }));
  // The long poll has a timeout of 25 s.
  CHECK(fixture.clock.GetNow() - before < std::chrono::seconds(10));
  // The evacuation that the store has lost stays in force.
  CHECK(fixture.mirror.GetFleet()->zones_out.size() == 2);
}

// Guards against responses that were held up since before a restore, or that another server gave in the store's place.
TEST_CASE("Responses of an earlier era, or of none, are not applied") {
  FollowerFixture fixture;
  fixture.era = "2";
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.mirror.GetFleet()->is_store_reachable; }));
  for (const std::string wrong : {"", "1", "x", "-3"}) {
    fixture.read_era = wrong;
    const int reads = fixture.reads;
    REQUIRE(fixture.RunUntil([&] { return !fixture.mirror.GetFleet()->is_store_reachable; }));
    // The reads are repeated with pauses, not in a tight loop.
    REQUIRE(fixture.RunUntil([&] { return fixture.reads > reads + 1; }));
    fixture.read_era.reset();
    REQUIRE(fixture.RunUntil([&] { return fixture.mirror.GetFleet()->is_store_reachable; }));
  }
  CHECK(fixture.listings == 1);
}

// Returns one record of a read, as the store sends it.
std::string MakeLogRecord(const std::string& key, const std::string& value) {
  const std::string content = std::string(1, static_cast<char>(key.size())) + key + value;
  return std::string("\0\0\0", 3) + static_cast<char>(content.size()) + content;
}

// Guards against superseded configurations that cross the link between two regions one after the other.
TEST_CASE("A topic is listed after a batch with superseded records") {
  FollowerFixture fixture;
  fixture.lists_when_behind = GENERATE(true, false);
  // The listing ends at 3 and the batch at 2, so that a listed record at 2 is all that was written in between, and one
  // at 1 shows that something else was superseded.
  const bool goes_on = GENERATE(true, false);
  fixture.entries = std::string(R"({"key":"evacuate/a","value":"e30=","offset":)") + (goes_on ? "1}" : "2}");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.held.size() == 1; }));
  REQUIRE(fixture.listings == 1);
  HttpResponse response;
  response.headers.Add(kEraField, fixture.era);
  response.body = std::string(16, '\0');

  SECTION("not after one with different keys") {
    response.body += MakeLogRecord("evacuate/b", "{}") + MakeLogRecord("evacuate/c", "{}");
    fixture.held.front()->Send(response);
    REQUIRE(fixture.RunUntil([&] { return fixture.held.size() == 2; }));
    CHECK(fixture.listings == 1);
  }
  SECTION("after one with a key that occurs twice, until nothing is superseded any more") {
    response.body += MakeLogRecord("evacuate/b", "{}") + MakeLogRecord("evacuate/b", "");
    fixture.held.front()->Send(response);
    REQUIRE(fixture.RunUntil([&] { return fixture.held.size() == 2; }));
    const int expected = goes_on ? 3 : 2;
    CHECK(fixture.listings == (fixture.lists_when_behind ? expected : 1));
  }
}

// Guards against a long poll of an entry that stands by, which brings the next configuration over the link once more,
// and against a takeover that waits for a timer.
TEST_CASE("Reading ends and begins at once when it is needed no longer, or again") {
  FollowerFixture fixture;
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.held.size() == 1; }));
  bool is_closed = false;
  fixture.held.front()->SetOnClosed([&] { is_closed = true; });
  fixture.is_needed = false;
  fixture.follower.OnNeedChanged();
  REQUIRE(fixture.RunUntil([&] { return is_closed; }));
  fixture.is_needed = true;
  fixture.follower.OnNeedChanged();
  REQUIRE(fixture.RunUntil([&] { return fixture.held.size() == 2; }));
  CHECK(fixture.listings == 2);
  // The store was never away, and a call that the follower ends itself does not count as a failure.
  CHECK(fixture.mirror.GetFleet()->is_store_reachable);
}

}  // namespace
}  // namespace plantain

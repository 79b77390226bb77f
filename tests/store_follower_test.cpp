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
        follower(loop, answer_memory, clock, random, mirror, MakeOptions(address)) {}

  static hosted::StoreFollowerOptions MakeOptions(const IpAddress& address) {
    hosted::StoreFollowerOptions options;
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

}  // namespace
}  // namespace plantain

#include "fleet_decoder.h"

#include <pthread.h>

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "failure_type.h"
#include "http_address.h"

namespace plantain {
namespace {

using Json = nlohmann::json;

// The platform's limit on the size of a record.
constexpr size_t kMaxRecordBytes = 262'144;
// Less than the default of any system that the programs run on.
constexpr size_t kSmallStackBytes = 512 * 1024;

const hosted::HostedDecoder kDecoder({{ZoneName("praha"), RegionName("cechy")}});

Json MakeRecord() {
  return {{"service", "veil"},  {"address", "10.1.0.7:8700"}, {"zone", "praha"}, {"version", 1},
          {"slots", 16},        {"state", "ready"},           {"seq", 4},        {"born", 1'700'000'000'000},
          {"cold_left_ms", 250}};
}

std::string MakeNested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// Runs `work` on a thread with a small stack.
void RunOnSmallStack(std::function<void()> work) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  REQUIRE(pthread_attr_setstacksize(&attributes, kSmallStackBytes) == 0);
  pthread_t thread;
  const auto run = [](void* argument) -> void* {
    (*static_cast<std::function<void()>*>(argument))();
    return nullptr;
  };
  REQUIRE(pthread_create(&thread, &attributes, run, &work) == 0);
  pthread_join(thread, nullptr);
  pthread_attr_destroy(&attributes);
}

// Guards against a record of another writer that ends every process which reads the directory, by recursion.
TEST_CASE("A deeply nested record is no endpoint, and comparing it does not exhaust the stack") {
  Json record = MakeRecord();
  record["x"] = "@";
  std::string nested = record.dump();
  const size_t at = nested.find("\"@\"");
  nested.replace(at, 3, MakeNested((kMaxRecordBytes - nested.size()) / 2));
  // The next heartbeat, so that all other fields are compared to the end.
  std::string other = nested;
  const std::string heartbeat = "\"seq\":4";
  other.replace(other.find(heartbeat), heartbeat.size(), "\"seq\":5");
  bool is_endpoint = true;
  bool is_same = false;
  RunOnSmallStack([&] {
    is_same = kDecoder.IsSameEndpoint(nested, other);
    is_endpoint = kDecoder.DecodeEndpoint("e1", nested).ok();
  });
  CHECK_FALSE(is_endpoint);
  CHECK(is_same);
  CHECK_FALSE(kDecoder.IsSameEndpoint(nested, MakeRecord().dump()));
}

// Guards against values of another writer that wrap around or overflow when they are used.
TEST_CASE("A record with a value outside its range is no endpoint") {
  REQUIRE(kDecoder.DecodeEndpoint("e1", MakeRecord().dump()).ok());
  const auto [field, value] = GENERATE(table<std::string, std::string>({
      {"slots", "0"},
      {"slots", "4294967296"},
      {"slots", "18446744073709551615"},
      {"slots", "18446744073709551616"},
      {"slots", "-1"},
      {"slots", "1.5"},
      {"cold_left_ms", "1e300"},
      {"cold_left_ms", "1e999"},
      {"born", "18446744073709551615"},
      {"born", "1e18"},
      {"born", "\"x\""},
      {"address", R"("999.9.9.9:80")"},
      {"address", R"("::::80")"},
      {"address", R"("10.1.0.7:65537")"},
      {"address", R"("10.1.0.7:0")"},
      {"address", R"("10.1.0.7")"},
      {"address", "7"},
      {"zone", "null"},
      {"service", "[]"},
      {"state", R"("gone")"},
  }));
  Json record = MakeRecord();
  record[field] = "@";
  std::string text = record.dump();
  text.replace(text.find("\"@\""), 3, value);
  INFO(text);
  CHECK_FALSE(kDecoder.DecodeEndpoint("e1", text).ok());
}

TEST_CASE("Two records of an endpoint differ if the endpoint does, not if only its heartbeat does") {
  const std::string before = MakeRecord().dump();
  Json after = MakeRecord();
  SECTION("a heartbeat") {
    after["seq"] = 5;
    CHECK(kDecoder.IsSameEndpoint(before, after.dump()));
  }
  SECTION("it leaves") {
    after["state"] = "draining";
    CHECK_FALSE(kDecoder.IsSameEndpoint(before, after.dump()));
  }
  SECTION("it has started again") {
    after["born"] = 1'700'000'000'001;
    CHECK_FALSE(kDecoder.IsSameEndpoint(before, after.dump()));
  }
  SECTION("another writer has damaged it") { CHECK_FALSE(kDecoder.IsSameEndpoint(before, before.substr(1))); }
}

TEST_CASE("An address with a port is numeric") {
  CHECK(ParseHttpTarget("127.0.0.1:80")->port == Port(80));
  CHECK(ParseHttpTarget("::1:80")->address == IpAddress("::1"));
  CHECK_FALSE(ParseHttpTarget("127.0.0.1.5:80").has_value());
  CHECK_FALSE(ParseHttpTarget("host:80").has_value());
}

}  // namespace
}  // namespace plantain

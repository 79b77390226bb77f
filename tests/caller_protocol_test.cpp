#include "caller_protocol.h"

#include <catch2/catch.hpp>

#include "endpoint_statement_type.h"

namespace plantain::hosted {
namespace {

std::vector<ContentKey> ParseParts(const std::string& field) {
  HttpRequest request;
  request.target = "/a/";
  request.headers.Add("Plantainmast-Attempt-Id", "r1");
  request.headers.Add("Plantainmast-Prefix-Hash", field);
  const auto parsed = HostedCallerProtocol().ParseRequest(std::move(request));
  REQUIRE(parsed.ok());
  return parsed->shared_parts;
}

// Guards against blaming a part that belongs to one request only, and against memory that a caller's header fills.
TEST_CASE("The shared parts of a prompt are read without the request's own part") {
  CHECK(
      ParseParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
      std::vector{ContentKey{ContentKind::kPromptPart, "5c1e07a2"}, ContentKey{ContentKind::kPromptPart, "91bd3f06"}});
  CHECK(ParseParts("e4402b7d:250").empty());
  CHECK(ParseParts("").empty());
  CHECK(ParseParts(",:5,5c1e07a2,e4402b7d:250") == std::vector{ContentKey{ContentKind::kPromptPart, "5c1e07a2"}});

  SECTION("an overlong id takes little memory, and is not lost") {
    const auto parts = ParseParts(std::string(5000, 'a') + ":1,b:2,c:3");
    REQUIRE(parts.size() == 2);
    CHECK(parts.front().id.size() == 32);
    CHECK(parts == ParseParts(std::string(5000, 'a') + ":1,b:2,c:3"));
    CHECK(parts != ParseParts(std::string(4999, 'a') + "d:1,b:2,c:3"));
    CHECK(parts.back().id == "b");
  }
  SECTION("each part of a long list is read") {
    std::string many;
    for (int i = 0; i < 1000; ++i) many += std::to_string(i) + ":1,";
    CHECK(ParseParts(many + "own:1").size() == 1000);
  }
}

// Guards against a caller's timeout that overflows a duration, so that its deadline has passed before it was sent.
TEST_CASE("A timeout that a caller states is bounded") {
  const auto parse_timeout = [](const std::string& field) {
    HttpRequest request;
    request.target = "/a/";
    request.headers.Add("Plantainmast-Attempt-Id", "r1");
    request.headers.Add("Plantainmast-Deadline-Ms", field);
    const auto parsed = HostedCallerProtocol().ParseRequest(std::move(request));
    REQUIRE(parsed.ok());
    return parsed->caller_timeout;
  };
  CHECK(parse_timeout("250") == Milliseconds(250));
  CHECK(parse_timeout("86400001") == std::chrono::hours(24));
  CHECK(parse_timeout("9223372036854776") == std::chrono::hours(24));
  CHECK(parse_timeout("9223372036854775808") == std::chrono::hours(24));
  CHECK(parse_timeout("18446744073709551615") == std::chrono::hours(24));
}

ResponseHead ParseRate(const std::string& value) {
  HttpHeaders headers;
  headers.Add("Plantainmast-Attempt-Id", "r1");
  if (!value.empty()) headers.Add("Server-Limit", value);
  return HostedCallerProtocol().ParseResponseHead(RequestId("r1"), 200, headers, false);
}

// Guards against a malformed rate that is taken for a number, or for the end of a limit.
TEST_CASE("The request rate that an endpoint states is a number of at least 0, or malformed") {
  CHECK(ParseRate("2.3").requests_per_s == 2.3);
  CHECK(ParseRate("0").requests_per_s == 0.0);
  CHECK(ParseRate("1e9").requests_per_s == 1e9);
  CHECK_FALSE(ParseRate("").requests_per_s.has_value());
  CHECK(ParseRate("").malformed_rate.empty());
  for (const std::string text : {"-1", "nan", "inf", "many", "2.3x", "2,3"}) {
    INFO(text);
    CHECK_FALSE(ParseRate(text).requests_per_s.has_value());
    CHECK(ParseRate(text).malformed_rate == text);
  }
  CHECK(ParseRate(std::string(5000, 'x')).malformed_rate.size() == 32);
}

ResponseHead ParseLeaving(const std::string& value) {
  HttpHeaders headers;
  headers.Add("Plantainmast-Attempt-Id", "r1");
  headers.Add("Server-Leaving", value);
  return HostedCallerProtocol().ParseResponseHead(RequestId("r1"), 200, headers, false);
}

// Guards against an endpoint that is given up for good because of a malformed field.
TEST_CASE("An endpoint leaves only if its response says exactly that") {
  CHECK(ParseLeaving("1").is_leaving);
  CHECK(ParseLeaving("1").malformed_leaving.empty());
  CHECK_FALSE(ParseLeaving("0").is_leaving);
  CHECK(ParseLeaving("0").malformed_leaving.empty());
  CHECK_FALSE(ParseRate("2.3").is_leaving);
  for (const std::string text : {"-1", "nan", "1e300", "yes", "11", "1 1"}) {
    INFO(text);
    CHECK_FALSE(ParseLeaving(text).is_leaving);
    CHECK(ParseLeaving(text).malformed_leaving == text);
  }
  CHECK(ParseLeaving(std::string(5000, '1')).malformed_leaving.size() == 32);
}

ResponseHead ParsePause(int status, const std::string& value) {
  HttpHeaders headers;
  headers.Add("Plantainmast-Attempt-Id", "r1");
  headers.Add("Retry-After", value);
  return HostedCallerProtocol().ParseResponseHead(RequestId("r1"), status, headers, false);
}

// Guards against a pause that never ends, that lies in the past or that a malformed field causes.
TEST_CASE("The pause that a refusal states is a bounded number of seconds, or malformed") {
  CHECK(ParsePause(503, "2.5").pause == Milliseconds(2500));
  CHECK(ParsePause(503, "3").pause == Milliseconds(3000));
  CHECK(ParsePause(503, "0").pause == Duration::zero());
  CHECK(ParsePause(503, "1e9").pause == kMaxStatedPause);
  CHECK(ParsePause(503, "1e300").pause == kMaxStatedPause);
  CHECK(ParsePause(200, "2.5").pause == Duration::zero());
  CHECK(ParsePause(429, "2.5").pause == Duration::zero());
  CHECK(ParsePause(503, "").malformed_pause.empty());
  for (const std::string text : {"-1", "nan", "inf", "1e999", "soon", "2.5s", "Sat, 05 Dec 2026"}) {
    INFO(text);
    CHECK(ParsePause(503, text).pause == Duration::zero());
    CHECK(ParsePause(503, text).malformed_pause == text);
  }
  CHECK(ParsePause(503, std::string(5000, 'x')).malformed_pause.size() == 32);
}

}  // namespace
}  // namespace plantain::hosted

#include "request_diagnosis.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "event_log.h"

namespace plantain {
namespace {

constexpr char kId[] = "b7ad1cebe0bfd488";

std::string MakeLine(std::string_view second, std::string_view vm, const std::string& event) {
  return "time=2026-12-04T06:13:" + std::string(second) + "Z level=INFO process=plantain-entry vm=" + std::string(vm) +
         " " + event;
}

std::string MakeEnd(std::string_view second, std::string_view failure, std::string_view endpoint) {
  return MakeLine(
      second, "entry-1",
      FormatEvent("request_end", {{"request", kId},
                                  {"status", failure == "none" ? 200 : 503},
                                  {"failure", failure},
                                  {"reason", failure == "none" ? "complete" : "its turn would come too late"},
                                  {"attempts", endpoint.empty() ? 0 : 1},
                                  {"endpoint", endpoint},
                                  {"expected_ms", 120},
                                  {"first_ms", 131}}));
}

std::string MakeFailedAttempt(std::string_view second, std::string_view entry, std::string_view request,
                              std::string_view end) {
  return MakeLine(second, entry,
                  FormatEvent("attempt_failed", {{"request", request}, {"endpoint", "i-1"}, {"end", end}}));
}

RequestDiagnosis Read(const std::vector<std::string>& lines) {
  RequestDiagnosis diagnosis{RequestId(kId)};
  for (const auto add : {&RequestDiagnosis::AddRequestLine, &RequestDiagnosis::AddContextLine}) {
    for (const std::string& text : lines) {
      if (const auto line = ParseLogLine(text)) (diagnosis.*add)(*line);
    }
  }
  return diagnosis;
}

// Guards against misparsing lines with quoted values, lines prefixed by another program, and truncated lines.
TEST_CASE("Log lines are parsed as they were written") {
  const std::string event = FormatEvent("attempt_failed", {{"reason", "said \"no\" to a=b"}, {"empty", ""}});
  const auto line = ParseLogLine("12.5 edge-1 " + MakeLine("01.250", "entry-1", event) + "\r\n");
  REQUIRE(line.has_value());
  CHECK(line->time == "2026-12-04T06:13:01.250Z");
  CHECK(line->vm == "entry-1");
  CHECK(line->event == "attempt_failed");
  CHECK(line->Get("reason") == "said \"no\" to a=b");
  CHECK(line->Get("empty").empty());

  SECTION("text in another format is rejected") {
    CHECK_FALSE(ParseLogLine("").has_value());
    CHECK_FALSE(ParseLogLine("Segmentation fault").has_value());
    CHECK_FALSE(ParseLogLine("time=2026-12-04T06:13:01.250Z level=INFO").has_value());
    CHECK_FALSE(ParseLogLine("time=2026-12-04T06:13:01.250Z event=x reason=\"cut of").has_value());
  }
}

// Guards against reporting overload when capacity was lost, and an endpoint crash when only the answer was lost.
TEST_CASE("The cause of a request's outcome is derived from its lines and their context") {
  SECTION("a refusal without context is overload") {
    const RequestDiagnosis diagnosis = Read({MakeEnd("10.000", "overloaded", "")});
    CHECK(diagnosis.GetCause() == OutcomeCause::kOverload);
    CHECK(diagnosis.GetSummary().find("cause=overload status=503") == 0);
  }

  SECTION("given events of lost endpoints") {
    const std::string gone = FormatEvent("endpoint_gone", {{"endpoint", "i-7"}});

    SECTION("a refusal shortly afterwards is lost capacity, in any order of the files") {
      CHECK(Read({MakeLine("05.000", "entry-1", gone), MakeEnd("10.000", "overloaded", "")}).GetCause() ==
            OutcomeCause::kCapacityLost);
      CHECK(Read({MakeEnd("10.000", "overloaded", ""), MakeLine("05.000", "entry-1", gone)}).GetCause() ==
            OutcomeCause::kCapacityLost);
    }

    SECTION("events long before and events at another entry are ignored") {
      CHECK(Read({MakeLine("05.000", "entry-1", gone), MakeEnd("40.000", "overloaded", "")}).GetCause() ==
            OutcomeCause::kOverload);
      CHECK(Read({MakeLine("05.000", "entry-2", gone), MakeEnd("10.000", "overloaded", "")}).GetCause() ==
            OutcomeCause::kOverload);
    }
  }

  SECTION("given a request that was sent and got no answer") {
    const std::vector<std::string> silent = {MakeFailedAttempt("09.000", "entry-1", kId, "silent"),
                                             MakeEnd("10.000", "timeout", "i-1")};

    SECTION("the answer was lost if the endpoint shows no other failure") {
      CHECK(Read(silent).GetCause() == OutcomeCause::kAnswerLost);
    }

    SECTION("the endpoint crashed if it disappeared from the directory") {
      std::vector<std::string> lines = silent;
      lines.push_back(MakeLine("12.000", "entry-2", FormatEvent("endpoint_gone", {{"endpoint", "i-1"}})));
      CHECK(Read(lines).GetCause() == OutcomeCause::kEndpointCrashed);
    }

    SECTION("the endpoint crashed if other requests cannot reach it") {
      std::vector<std::string> lines = silent;
      lines.push_back(MakeFailedAttempt("09.500", "entry-2", "other", "unreachable"));
      CHECK(Read(lines).GetCause() == OutcomeCause::kEndpointCrashed);
    }

    SECTION("the timeline contains the lines of the request and of its endpoint, sorted by time") {
      std::vector<std::string> lines = silent;
      lines.push_back(MakeLine("08.000", "agent-1", FormatEvent("engine_order", {{"endpoint", "i-1"}})));
      const std::vector<LogLine> timeline = Read(lines).GetTimeline();
      REQUIRE(timeline.size() == 3);
      CHECK(timeline[0].event == "engine_order");
      CHECK(timeline[2].event == "request_end");
    }
  }

  SECTION("the failure type determines the cause") {
    CHECK(Read({MakeEnd("10.000", "caller_gone", "")}).GetCause() == OutcomeCause::kCallerGone);
    CHECK(Read({MakeEnd("10.000", "draining", "")}).GetCause() == OutcomeCause::kEntryStopping);
    CHECK(Read({MakeEnd("10.000", "no_endpoint", "")}).GetCause() == OutcomeCause::kNoEndpoint);
    CHECK(Read({MakeFailedAttempt("09.000", "entry-1", kId, "error"), MakeEnd("10.000", "broken_answer", "i-1")})
              .GetCause() == OutcomeCause::kEndpointError);
    CHECK(Read({MakeFailedAttempt("09.000", "entry-1", kId, "broken"), MakeEnd("10.000", "unknown_outcome", "i-1")})
              .GetCause() == OutcomeCause::kBrokenAnswer);
    CHECK(Read({MakeEnd("10.000", "none", "i-1")}).GetCause() == OutcomeCause::kServed);
  }

  SECTION("a refused request that was never routed has a single line") {
    const std::string refused = FormatEvent("request_refused", {{"request", kId}, {"failure", "unknown_key"}});
    CHECK(Read({MakeLine("10.000", "entry-1", refused)}).GetCause() == OutcomeCause::kUnknownKey);
  }

  SECTION("without a final line the cause is unknown") {
    CHECK(Read({MakeFailedAttempt("09.000", "entry-1", kId, "broken")}).GetCause() == OutcomeCause::kUnknown);
    CHECK_FALSE(Read({MakeFailedAttempt("09.000", "entry-1", "other", "broken")}).IsFound());
  }
}

}  // namespace
}  // namespace plantain

#include <catch2/catch.hpp>
#include <tuple>

#include "failure_type.h"
#include "forward_fake.h"

namespace plantain {
namespace {

const std::string kFirst = "id: 1\ndata: a\n\n";
const std::string kSecond = "id: 2\ndata: b\n\n";

ForwardOptions MakeOptionsWithoutRetries() {
  ForwardOptions options = ForwardFixture::MakeOptions();
  options.retry_share = 0;
  options.retry_slack = 0;
  return options;
}

std::vector<EndpointInfo> MakeEngines(int count) {
  std::vector<EndpointInfo> engines;
  for (int i = 1; i <= count; ++i) engines.push_back(MakeEndpoint("e" + std::to_string(i), kEnginePool, "praha"));
  return engines;
}

void CheckStreamGoesOn(ForwardFixture& fixture, FakeForwardCaller& caller) {
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  REQUIRE_FALSE(first.is_cancelled);
  REQUIRE_FALSE(caller.is_aborted);
  first.SendData(kSecond);
  first.FinishResponse();
  CHECK(caller.body == kFirst + kSecond);
  CHECK(caller.is_complete);
}

// Guards against answers that are ended because their endpoint stands still for a second or so, without any other one
// that could give the answer.
TEST_CASE("An answer goes on after a pause of its endpoint if no other endpoint can give it") {
  SECTION("a stream at the only endpoint") {
    ForwardFixture fixture(MakeEngines(1));
    const auto caller = fixture.SendRequest("/draft/1", "6000");
    fixture.sender.At(0).BeginStream();
    fixture.sender.At(0).SendData(kFirst);
    fixture.AdvanceTime(Milliseconds(2000));
    CheckStreamGoesOn(fixture, *caller);
  }
  SECTION("a stream, with the retry budget used up") {
    ForwardFixture fixture(MakeEngines(2), MakeOptionsWithoutRetries());
    const auto caller = fixture.SendRequest("/draft/1", "6000");
    fixture.sender.At(0).BeginStream();
    fixture.sender.At(0).SendData(kFirst);
    fixture.AdvanceTime(Milliseconds(2000));
    CheckStreamGoesOn(fixture, *caller);
  }
  SECTION("a stream that has not begun, with the retry budget used up") {
    ForwardFixture fixture(MakeEngines(2), MakeOptionsWithoutRetries());
    const auto caller = fixture.SendRequest("/draft/1", "6000");
    fixture.AdvanceTime(Milliseconds(2000));
    REQUIRE_FALSE(fixture.sender.At(0).is_cancelled);
    fixture.sender.At(0).BeginStream();
    fixture.sender.At(0).SendData(kFirst);
    CheckStreamGoesOn(fixture, *caller);
  }
  SECTION("an idempotent request, with the retry budget used up") {
    ForwardFixture fixture({MakeEndpoint("g1", kRegisterPool, "praha"), MakeEndpoint("g2", kRegisterPool, "praha")},
                           MakeOptionsWithoutRetries());
    const auto caller = fixture.SendRequest("/look/1", "1000");
    fixture.AdvanceTime(Milliseconds(900));
    REQUIRE_FALSE(fixture.sender.At(0).is_cancelled);
    fixture.sender.At(0).SendResponse(200, "whole");
    CHECK(caller->body == "whole");
  }
  SECTION("a request whose other endpoints are full") {
    ForwardFixture fixture(MakeEngines(2));
    std::vector<std::shared_ptr<FakeForwardCaller>> callers;
    while (fixture.sender.GetCount() < 10) {
      callers.push_back(fixture.SendRequest("/draft/1", "6000"));
      FakeAttemptSender::Sent& sent = fixture.sender.At(fixture.sender.GetCount() - 1);
      sent.BeginStream();
      sent.SendData(kFirst);
    }
    fixture.AdvanceTime(Milliseconds(2000));
    for (size_t i = 0; i < callers.size(); ++i) {
      CHECK_FALSE(fixture.sender.At(i).is_cancelled);
      CHECK_FALSE(callers[i]->is_aborted);
    }
  }
}

// Guards against a caller that waits for an endpoint which is gone, and against answers joined from two runs.
TEST_CASE("A silent endpoint is replaced only when another one has begun to answer") {
  ForwardFixture fixture(MakeEngines(3));
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  first.BeginStream();
  first.SendData(kFirst);
  fixture.AdvanceTime(Milliseconds(1250));
  REQUIRE(fixture.sender.GetCount() == 2);
  FakeAttemptSender::Sent& second = fixture.sender.At(1);
  CHECK(second.GetField("Last-Event-Id") == "1");
  CHECK_FALSE(first.is_cancelled);

  SECTION("the other one answers first") {
    second.BeginStream();
    CHECK_FALSE(first.is_cancelled);
    second.SendData(kSecond);
    CHECK(first.is_cancelled);
    second.FinishResponse();
    CHECK(caller->body == kFirst + kSecond);
    CHECK(caller->is_complete);
  }
  SECTION("the silent one goes on first") {
    first.SendData(kSecond);
    CHECK(second.is_cancelled);
    first.FinishResponse();
    CHECK(caller->body == kFirst + kSecond);
    CHECK(caller->is_complete);
  }
  SECTION("the other one fails") {
    const std::string end = GENERATE("lost", "refused", "error");
    if (end == "lost") second.FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    if (end == "refused") second.RefuseAsNotRun();
    if (end == "error") second.SendResponse(500, "no");
    CheckStreamGoesOn(fixture, *caller);
  }
  SECTION("the silent one fails") {
    first.FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    CHECK_FALSE(second.is_cancelled);
    second.BeginStream();
    second.SendData(kSecond);
    second.FinishResponse();
    CHECK(caller->body == kFirst + kSecond);
    CHECK(caller->is_complete);
  }
  SECTION("neither answers until the deadline") {
    fixture.AdvanceTime(Milliseconds(5000));
    CHECK(first.is_cancelled);
    CHECK(second.is_cancelled);
    CHECK(caller->is_aborted);
    CHECK(fixture.sender.GetCount() == 2);
  }
  SECTION("the caller goes away") {
    caller->on_closed();
    CHECK(first.is_cancelled);
    CHECK(second.is_cancelled);
    CHECK(fixture.traffic->GetInFlight() == 0);
  }
}

// Guards against an error or a second answer at the caller while one of two attempts still runs.
TEST_CASE("Of two attempts at an idempotent request the first complete answer reaches the caller") {
  ForwardFixture fixture({MakeEndpoint("g1", kRegisterPool, "praha"), MakeEndpoint("g2", kRegisterPool, "praha"),
                          MakeEndpoint("g3", kRegisterPool, "praha")});
  const auto caller = fixture.SendRequest("/look/1", "1000");
  fixture.AdvanceTime(Milliseconds(470));
  REQUIRE(fixture.sender.GetCount() == 2);
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  FakeAttemptSender::Sent& second = fixture.sender.At(1);

  SECTION("an error waits for the other attempt") {
    second.SendResponse(500, "error");
    CHECK(caller->status == 0);
    first.SendResponse(200, "whole");
    CHECK(caller->body == "whole");
  }
  SECTION("a part of an answer does not cancel the other attempt") {
    second.SendHead(200, {{"Plantainmast-Server-Stamp", "s"}});
    second.SendData("who");
    CHECK_FALSE(first.is_cancelled);
    first.SendResponse(200, "whole");
    CHECK(second.is_cancelled);
    CHECK(caller->body == "whole");
  }
  SECTION("there are no more runs than the route allows") {
    first.FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    second.FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    CHECK(fixture.sender.GetCount() == 2);
    CHECK(caller->status == 502);
  }
}

// Guards against hedges for which the retry budget does not suffice and that keep other requests from a free endpoint.
TEST_CASE("A hedge that the retry budget does not allow leaves the queue to others") {
  ForwardOptions options = ForwardFixture::MakeOptions();
  options.retry_share = 0;
  // Two retries for this entry.
  options.retry_slack = 16;
  ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha", 16), MakeEndpoint("e2", kEnginePool, "praha", 1)},
                         options);
  std::vector<size_t> silent;
  std::vector<size_t> others;
  for (int i = 0; i < 19; ++i) {
    fixture.SendRequest("/draft/1", "6000");
    REQUIRE(fixture.sender.GetCount() == static_cast<size_t>(i) + 1);
    FakeAttemptSender::Sent& sent = fixture.sender.At(i);
    sent.BeginStream();
    sent.SendData(kFirst);
    (sent.GetEndpoint() == "e1" ? silent : others).push_back(i);
  }
  REQUIRE(others.size() == 2);
  for (int id = 2; id < 7; ++id) {
    fixture.AdvanceTime(Milliseconds(250));
    for (const size_t index : others) {
      fixture.sender.At(index).SendData("id: " + std::to_string(id) + "\ndata: b\n\n");
    }
  }
  const auto next = fixture.SendRequest("/draft/1", "6000");
  REQUIRE(fixture.sender.GetCount() == 19);
  for (const size_t index : others) fixture.sender.At(index).FinishResponse();
  // The budget allows these two hedges. The next free place is for the request that waits.
  REQUIRE(fixture.sender.GetCount() == 21);
  for (const size_t hedge : {19, 20}) {
    REQUIRE(fixture.sender.At(hedge).GetField("Last-Event-Id") == "1");
    fixture.sender.At(hedge).FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
  }
  fixture.AdvanceTime(Milliseconds(10));
  REQUIRE(fixture.sender.GetCount() == 22);
  CHECK(fixture.sender.At(21).GetField("Plantainmast-Attempt-Id") == "r20");
  for (const size_t index : silent) CHECK_FALSE(fixture.sender.At(index).is_cancelled);
}

// Guards against a hedge that is sent, and takes a retry, although the silent endpoint has gone on meanwhile.
TEST_CASE("A hedge that waits is withdrawn when the endpoint goes on") {
  ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha"), MakeEndpoint("e2", kEnginePool, "praha", 1)});
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  FakeAttemptSender::Sent& first = fixture.sender.At(0);
  // All other places are taken.
  std::vector<size_t> others;
  for (int i = 0; i < 12; ++i) {
    const size_t before = fixture.sender.GetCount();
    fixture.SendRequest("/draft/1", "6000");
    if (fixture.sender.GetCount() > before) others.push_back(before);
  }
  fixture.AdvanceTime(Milliseconds(1000));
  for (const size_t index : others) {
    fixture.sender.At(index).BeginStream();
    fixture.sender.At(index).SendData(kFirst);
  }
  fixture.AdvanceTime(Milliseconds(250));
  const size_t before = fixture.sender.GetCount();
  REQUIRE_FALSE(first.is_cancelled);
  first.BeginStream();
  fixture.AdvanceTime(Milliseconds(20));
  for (const size_t index : others) fixture.sender.At(index).FinishResponse();
  fixture.AdvanceTime(Milliseconds(20));
  for (size_t i = before; i < fixture.sender.GetCount(); ++i) {
    CHECK(fixture.sender.At(i).GetField("Plantainmast-Attempt-Id") != "r1");
  }
}

// Guards against an endpoint that gets no requests because one of them takes long and may not be sent elsewhere.
TEST_CASE("A silent request without another attempt keeps no others from its endpoint") {
  ForwardFixture fixture({MakeEndpoint("g1", kRegisterPool, "praha")});
  auto document = std::make_shared<RoutingDocument>(*fixture.fleet->routing);
  document->routes[2].attempts = 1;
  fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
  fixture.fleet->routing = document;
  fixture.traffic->SetFleet(fixture.fleet);
  const auto slow = fixture.SendRequest("/look/1", "1000");
  fixture.AdvanceTime(Milliseconds(600));
  const auto next = fixture.SendRequest("/look/2", "1000");
  CHECK(fixture.sender.GetCount() == 2);
}

// Guards against a request that may run once only and is sent again because its endpoint is silent.
TEST_CASE("A request that must run once is never sent beside a silent attempt") {
  ForwardFixture fixture({MakeEndpoint("g1", kRegisterPool, "praha"), MakeEndpoint("g2", kRegisterPool, "praha")});
  const auto caller = fixture.SendRequest("/seal/1", "1000");
  fixture.AdvanceTime(Milliseconds(900));
  CHECK(fixture.sender.GetCount() == 1);
  fixture.sender.At(0).SendResponse(200, "sealed");
  CHECK(caller->body == "sealed");
}

// Guards against an endpoint that gets nothing for seconds after a pause that held up several of its requests.
TEST_CASE("An endpoint gets requests again with the first byte after its pause, however many it held up") {
  ForwardFixture fixture(MakeEngines(1), MakeOptionsWithoutRetries());
  std::vector<std::shared_ptr<FakeForwardCaller>> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(fixture.SendRequest("/draft/1", "6000"));
    fixture.sender.At(i).BeginStream();
    fixture.sender.At(i).SendData(kFirst);
  }
  fixture.AdvanceTime(Milliseconds(1300));
  const auto held_up = fixture.SendRequest("/draft/1", "6000");
  CHECK(held_up->status == 0);
  for (int i = 0; i < 3; ++i) fixture.sender.At(i).SendData(kSecond);
  const auto next = fixture.SendRequest("/draft/1", "6000");
  fixture.AdvanceTime(Milliseconds(20));
  CHECK(fixture.sender.GetCount() == 5);
  for (const auto& caller : callers) CHECK_FALSE(caller->is_aborted);
}

// Guards against an endpoint that is gone and still gets a request from each caller.
TEST_CASE("An endpoint that stays silent gets one request from time to time") {
  ForwardFixture fixture(MakeEngines(2), MakeOptionsWithoutRetries());
  const auto send = [&] {
    const auto caller = fixture.SendRequest("/draft/1", "6000");
    FakeAttemptSender::Sent& sent = fixture.sender.At(fixture.sender.GetCount() - 1);
    if (sent.GetEndpoint() == "e1") return;
    sent.BeginStream();
    sent.SendData(kFirst);
    sent.FinishResponse();
  };
  size_t to_silent = 0;
  for (int i = 0; i < 100; ++i) {
    send();
    fixture.AdvanceTime(Milliseconds(100));
    if (i < 20) continue;
    to_silent += fixture.sender.At(fixture.sender.GetCount() - 1).GetEndpoint() == "e1";
  }
  // 8 s with a probe each 1.5 s at most.
  CHECK(to_silent <= 6);
}

// Guards against attempts that are taken for silent although it is this process that did not read.
TEST_CASE("Time in which the entry itself stood still is no silence of its endpoints") {
  ForwardFixture fixture(MakeEngines(2));
  const auto caller = fixture.SendRequest("/draft/1", "6000");
  fixture.sender.At(0).BeginStream();
  fixture.sender.At(0).SendData(kFirst);
  fixture.AdvanceTime(Milliseconds(100));
  fixture.clock.Advance(Milliseconds(3000));
  fixture.traffic->CheckDue();
  CHECK(fixture.sender.GetCount() == 1);
  CheckStreamGoesOn(fixture, *caller);
}

// Guards against callers that wait for an endpoint although none is left that may run their request.
TEST_CASE("Queued requests are refused at once when all endpoints of their pool leave, and sent ones go on") {
  ForwardFixture fixture(MakeEngines(1));
  std::vector<std::shared_ptr<FakeForwardCaller>> callers;
  for (int i = 0; i < 7; ++i) callers.push_back(fixture.SendRequest("/draft/1", "6000"));
  const size_t sent = fixture.sender.GetCount();
  REQUIRE(sent == 5);
  const bool is_listed = GENERATE(true, false);
  fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
  if (is_listed) {
    fixture.fleet->endpoints[0].is_leaving = true;
  } else {
    fixture.fleet->endpoints.clear();
  }
  fixture.traffic->SetFleet(fixture.fleet);
  CHECK(callers[5]->status == 503);
  CHECK(callers[6]->status == 503);
  fixture.AdvanceTime(Milliseconds(2000));
  for (size_t i = 0; i < sent; ++i) {
    CHECK_FALSE(fixture.sender.At(i).is_cancelled);
    CHECK(callers[i]->status == 0);
  }
}

// Guards against an endpoint that gets no requests for a while because a caller left it no time for its answer.
TEST_CASE("A request with little time left keeps no others from a sound endpoint") {
  SECTION("of any kind") {
    const auto [pool, path, left_ms] =
        GENERATE(std::make_tuple(kRegisterPool, "/look/", 40), std::make_tuple(kRegisterPool, "/seal/", 40),
                 std::make_tuple(kEnginePool, "/draft/", 40), std::make_tuple(kEnginePool, "/draft/", 5));
    CAPTURE(path, left_ms);
    ForwardFixture fixture({MakeEndpoint("x1", pool, "praha")});
    const auto hurried = fixture.SendRequest(std::string(path) + "1", std::to_string(left_ms));
    REQUIRE(fixture.sender.GetCount() == 1);
    fixture.AdvanceTime(Milliseconds(left_ms + 10));
    CHECK(hurried->status == 504);
    fixture.SendRequest(std::string(path) + "2", "1000");
    CHECK(fixture.sender.GetCount() == 2);
  }
  SECTION("while the endpoint answers others") {
    ForwardFixture fixture({MakeEndpoint("x1", kEnginePool, "praha")});
    const auto other = fixture.SendRequest("/draft/0", "6000");
    fixture.sender.At(0).BeginStream();
    fixture.SendRequest("/draft/1", "40");
    for (int id = 1; id <= 10; ++id) {
      fixture.AdvanceTime(Milliseconds(5));
      fixture.sender.At(0).SendData("id: " + std::to_string(id) + "\ndata: a\n\n");
    }
    fixture.SendRequest("/draft/2", "6000");
    CHECK(fixture.sender.GetCount() == 3);
  }
  SECTION("one that was silent for long does") {
    ForwardFixture fixture({MakeEndpoint("x1", kRegisterPool, "praha")});
    fixture.SendRequest("/seal/1", "1000");
    fixture.AdvanceTime(Milliseconds(1010));
    fixture.SendRequest("/seal/2", "1000");
    CHECK(fixture.sender.GetCount() == 1);
  }
}

}  // namespace
}  // namespace plantain

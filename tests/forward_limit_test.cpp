#include <catch2/catch.hpp>

#include "forward_fake.h"

namespace plantain {
namespace {

// Guards against more requests than an endpoint states that it takes: the LIMIT incident.
TEST_CASE("An endpoint that states a limit in its answers gets no more requests than that") {
  ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha", 16)});
  // Other entries would be heard by then.
  fixture.AdvanceTime(std::chrono::seconds(5));
  auto answer_all = [&fixture, next = size_t{0}]() mutable {
    for (; next < fixture.sender.GetCount(); ++next) {
      FakeAttemptSender::Sent& sent = fixture.sender.At(next);
      sent.SendHead(200, {{"Plantainmast-Server-Stamp", "s"},
                          {"Content-Type", "text/event-stream"},
                          {"Plantainmast-Weight-Versions", "1"},
                          {"Server-Limit", "2.5"}});
      sent.SendData("id: 0\ndata: x\n\n");
      sent.FinishResponse();
    }
  };
  fixture.SendRequest("/draft/1", "6000");
  answer_all();
  for (int i = 0; i < 30; ++i) {
    fixture.SendRequest("/draft/1", "6000");
    answer_all();
    fixture.AdvanceTime(Milliseconds(100));
    answer_all();
  }
  const size_t sent_before = fixture.sender.GetCount();
  for (int i = 0; i < 40; ++i) {
    fixture.SendRequest("/draft/1", "6000");
    answer_all();
    fixture.AdvanceTime(Milliseconds(100));
    answer_all();
  }
  CHECK(fixture.sender.GetCount() - sent_before <= 11);
  CHECK(fixture.sender.GetCount() - sent_before >= 8);
}

std::vector<std::pair<std::string, std::string>> MakeStreamFields(const std::string& name, const std::string& value) {
  return {{"Plantainmast-Server-Stamp", "s"},
          {"Content-Type", "text/event-stream"},
          {"Plantainmast-Weight-Versions", "1"},
          {name, value}};
}

// Guards against requests, also queued ones, that go to an endpoint after it has said in an answer that it leaves.
TEST_CASE("An endpoint that says that it leaves gets no new attempts") {
  ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha", 1)});
  const auto running = fixture.SendRequest("/draft/1", "6000");
  const auto overcommitted = fixture.SendRequest("/draft/1", "6000");
  const auto queued = fixture.SendRequest("/draft/1", "6000");
  REQUIRE(fixture.sender.GetCount() == 2);
  FakeAttemptSender::Sent& sent = fixture.sender.At(0);

  SECTION("what runs there goes on, and what waits is not sent there") {
    sent.SendHead(200, MakeStreamFields("Server-Leaving", "1"));
    sent.SendData("id: 0\ndata: x\n\n");
    sent.FinishResponse();
    CHECK(running->is_complete);
    fixture.AdvanceTime(Milliseconds(300));
    CHECK(fixture.sender.GetCount() == 2);
    CHECK_FALSE(fixture.sender.At(1).is_cancelled);
    const auto later = fixture.SendRequest("/draft/1", "6000");
    CHECK(later->status == 503);
    CHECK(fixture.sender.GetCount() == 2);
    CHECK(fixture.traffic->TakeHasNews());

    SECTION("a new start under the same id gets requests") {
      fixture.fleet = std::make_shared<FleetView>(*fixture.fleet);
      fixture.fleet->endpoints[0].incarnation = Incarnation(2);
      fixture.traffic->SetFleet(fixture.fleet);
      fixture.SendRequest("/draft/1", "6000");
      CHECK(fixture.sender.GetCount() == 3);
    }
  }
  SECTION("a malformed statement changes nothing") {
    sent.SendHead(200, MakeStreamFields("Server-Leaving", "maybe"));
    sent.SendData("id: 0\ndata: x\n\n");
    sent.FinishResponse();
    CHECK(fixture.sender.GetCount() == 3);
  }
  SECTION("a peer's statement counts too") {
    StatementReport report;
    report.statements.push_back({EndpointId("e1"), {}, {}, Incarnation(1), true, {}});
    fixture.traffic->ApplyStatementReport(VmId("vm2"), report);
    sent.SendHead(200, MakeStreamFields("Server-Leaving", "0"));
    sent.SendData("id: 0\ndata: x\n\n");
    sent.FinishResponse();
    fixture.AdvanceTime(Milliseconds(300));
    CHECK(fixture.sender.GetCount() == 2);
  }
}

void RefuseWithPause(FakeAttemptSender::Sent& sent, const std::string& retry_after) {
  sent.SendHead(503, {{"Plantainmast-Not-Executed", "1"}, {"Retry-After", retry_after}});
  sent.FinishResponse();
}

// Guards against requests to an endpoint within the time for which it has refused them, and against callers that wait
// or come back in vain.
TEST_CASE("An endpoint that refuses with Retry-After gets nothing for so long") {
  SECTION("the only endpoint") {
    ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha", 4)});
    const auto refused = fixture.SendRequest("/draft/1", "6000");
    REQUIRE(fixture.sender.GetCount() == 1);

    SECTION("requests are refused at once, until its pause ends") {
      RefuseWithPause(fixture.sender.At(0), "5");
      const auto early = fixture.SendRequest("/draft/1", "6000");
      CHECK(early->status == 503);
      CHECK(std::stod(std::string(early->headers.Find("Retry-After"))) >= 5.0);
      fixture.AdvanceTime(Milliseconds(4980));
      CHECK(fixture.sender.GetCount() == 1);
      fixture.AdvanceTime(Milliseconds(30));
      fixture.SendRequest("/draft/1", "6000");
      CHECK(fixture.sender.GetCount() == 2);
    }
    SECTION("a request waits for the end of a short pause") {
      RefuseWithPause(fixture.sender.At(0), "0.1");
      const auto waiting = fixture.SendRequest("/draft/1", "6000");
      fixture.AdvanceTime(Milliseconds(90));
      CHECK(fixture.sender.GetCount() == 1);
      fixture.AdvanceTime(Milliseconds(30));
      CHECK(fixture.sender.GetCount() >= 2);
      CHECK(waiting->status == 0);
    }
    SECTION("a long pause gives callers a bounded time") {
      RefuseWithPause(fixture.sender.At(0), "1e300");
      const auto early = fixture.SendRequest("/draft/1", "6000");
      CHECK(std::stod(std::string(early->headers.Find("Retry-After"))) == 30.0);
    }
    SECTION("a malformed pause changes nothing") {
      RefuseWithPause(fixture.sender.At(0), "soon");
      fixture.AdvanceTime(Milliseconds(100));
      fixture.SendRequest("/draft/1", "6000");
      CHECK(fixture.sender.GetCount() >= 2);
    }
  }
  SECTION("one of two endpoints") {
    ForwardFixture fixture({MakeEndpoint("e1", kEnginePool, "praha", 4), MakeEndpoint("e2", kEnginePool, "praha", 4)});
    fixture.SendRequest("/draft/1", "6000");
    const std::string paused = fixture.sender.At(0).GetEndpoint();
    RefuseWithPause(fixture.sender.At(0), "5");
    CHECK(fixture.traffic->TakeHasNews());
    for (int i = 0; i < 10; ++i) fixture.SendRequest("/draft/1", "6000");
    for (size_t i = 1; i < fixture.sender.GetCount(); ++i) CHECK(fixture.sender.At(i).GetEndpoint() != paused);
    CHECK(fixture.sender.GetCount() >= 4);
  }
}

}  // namespace
}  // namespace plantain

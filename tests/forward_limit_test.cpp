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
    report.statements.push_back({EndpointId("e1"), {}, {}, Incarnation(1), true});
    fixture.traffic->ApplyStatementReport(VmId("vm2"), report);
    sent.SendHead(200, MakeStreamFields("Server-Leaving", "0"));
    sent.SendData("id: 0\ndata: x\n\n");
    sent.FinishResponse();
    fixture.AdvanceTime(Milliseconds(300));
    CHECK(fixture.sender.GetCount() == 2);
  }
}

}  // namespace
}  // namespace plantain

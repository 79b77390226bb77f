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

}  // namespace
}  // namespace plantain

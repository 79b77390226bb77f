#include <catch2/catch.hpp>

#include "failure_type.h"
#include "prompt_fixture.h"

namespace plantain {
namespace {

constexpr int kEvents = 12;

// Engines that crash at one prompt part after some events of an answer, and are back after a while.
struct CrashingStreamFixture : PromptFixture {
  // Sends the header and some events of the answers to all open attempts, then ends their engines, as often as they
  // are resumed. New engines take their places.
  void CrashAll(int events) {
    for (; next_open < sender.GetCount(); ++next_open) {
      FakeAttemptSender::Sent& sent = sender.At(next_open);
      if (sent.is_cancelled) continue;
      const std::string last = sent.GetField("Last-Event-Id");
      SendEvents(sent, last.empty() ? 0 : std::stoi(last) + 1, events);
      sent.FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    }
    ReplaceEngines();
  }

  // Answers the last request with a whole stream.
  void AnswerLast() {
    FakeAttemptSender::Sent& sent = sender.At(sender.GetCount() - 1);
    SendEvents(sent, 0, kEvents);
    sent.FinishResponse();
    next_open = sender.GetCount();
  }

  void SendEvents(FakeAttemptSender::Sent& sent, int first, int count) {
    sent.SendHead(200, {{"Plantainmast-Server-Stamp", "s"},
                        {"Content-Type", "text/event-stream"},
                        {"Plantainmast-Weight-Versions", "1"},
                        {"Transfer-Encoding", "chunked"}});
    for (int i = first; i < first + count; ++i) {
      AdvanceTime(Milliseconds(20));
      sent.SendData("id: " + std::to_string(i) + "\ndata: a\n\n");
    }
  }
};

// Guards against content that crashes endpoints after its answer has begun, for which the first event was taken as
// proof that it is sound: review/9, BUDGET.
TEST_CASE("A prompt part is blocked at whatever event of their answers it ends engines") {
  CrashingStreamFixture fixture;
  const int events = GENERATE(0, 1, 2, 6, 11);
  INFO("events " << events);
  std::shared_ptr<FakeForwardCaller> caller;
  for (int i = 0; i < 13; ++i) {
    caller = fixture.SendPrompt("5c1e07a2:40,bad0bad0:400");
    fixture.CrashAll(events);
    // Sound requests share the first part.
    fixture.SendPrompt("5c1e07a2:40");
    fixture.AnswerLast();
  }
  CHECK_FALSE(fixture.traffic->GetContentReports().empty());
  size_t bad = 0;
  for (size_t i = 0; i < fixture.sender.GetCount(); ++i) {
    bad += fixture.sender.At(i).GetField("Plantainmast-Prefix-Hash").find("bad0bad0") != std::string::npos ? 1 : 0;
  }
  CHECK(bad >= 4);
  CHECK(bad <= 5 + 3);

  SECTION("its callers are refused") {
    CHECK(caller->status == 503);
    CHECK(caller->body.find("blocked_content") != std::string::npos);
  }
  SECTION("requests that share its other parts are sent") {
    const size_t sent = fixture.sender.GetCount();
    fixture.SendPrompt("5c1e07a2:40,91bd3f06:400");
    CHECK(fixture.sender.GetCount() == sent + 1);
  }
}

// Guards against a bad part that is not looked at behind sound ones.
TEST_CASE("A prompt part that ends engines is blocked at whatever place of the prompt") {
  CrashingStreamFixture fixture;
  const int before = GENERATE(0, 7, 8, 40, 300);
  INFO("parts before it " << before);
  std::string sound;
  for (int i = 0; i < before; ++i) sound += "s" + std::to_string(i) + ":9,";
  fixture.SendPrompt(sound + "5c1e07a2:40");
  fixture.AnswerLast();
  for (int i = 0; i < 30; ++i) {
    fixture.SendPrompt(sound + "bad0bad0:400");
    fixture.CrashAll(0);
  }
  const auto caller = fixture.SendPrompt(sound + "bad0bad0:400");
  CHECK(caller->body.find("blocked_content") != std::string::npos);
  const auto other = fixture.SendPrompt(sound + "91bd3f06:400");
  CHECK(other->status == 0);
}

// Guards against a part that counts as sound because its answers begin, whoever saw them: an answer that ends with its
// connection may have been cut off by the crash at the end of an event.
TEST_CASE("Only an answer with an explicit end proves that a part is sound") {
  CrashingStreamFixture fixture;
  for (int i = 0; i < 13; ++i) {
    fixture.SendPrompt("bad0bad0:400");
    FakeAttemptSender::Sent& sent = fixture.sender.At(fixture.sender.GetCount() - 1);
    if (i % 2 == 0) {
      fixture.CrashAll(1);
      continue;
    }
    sent.BeginStream();
    sent.SendData("id: 0\ndata: a\n\n");
    sent.FinishResponse();
    fixture.next_open = fixture.sender.GetCount();
  }
  CHECK(fixture.traffic->GetContentReports().front().blocked_age.has_value());
}

// Guards against blocking a part for ends in the middle of its answers that have other causes.
TEST_CASE("A part whose answers are whole in between is not blocked, however often its streams break off") {
  CrashingStreamFixture fixture;
  for (int i = 0; i < 40; ++i) {
    fixture.SendPrompt("91bd3f06:400");
    fixture.CrashAll(6);
    fixture.SendPrompt("91bd3f06:400");
    fixture.AnswerLast();
  }
  const auto last = fixture.SendPrompt("91bd3f06:400");
  CHECK(last->status == 0);
}

}  // namespace
}  // namespace plantain

#include <catch2/catch.hpp>

#include "failure_type.h"
#include "prompt_fixture.h"

namespace plantain {
namespace {

struct CrashingPromptFixture : PromptFixture {
  // Ends the engines of all attempts that are open, before any event but after the header of their answers. New engines
  // take their places.
  void CrashAll() {
    for (; next_open < sender.GetCount(); ++next_open) {
      FakeAttemptSender::Sent& sent = sender.At(next_open);
      if (sent.is_cancelled) continue;
      sent.BeginStream();
      sent.SendData("id: 0\nda");
      sent.FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    }
    ReplaceEngines();
  }
};

// Guards against requests with one prompt part that end one engine after the other: the BUDGET incident.
TEST_CASE("After five engines have ended at a prompt part, at most three more requests with it are sent") {
  CrashingPromptFixture fixture;
  std::shared_ptr<FakeForwardCaller> caller;
  for (int i = 0; i < 13; ++i) {
    caller = fixture.SendPrompt("5c1e07a2:40,bad0bad0:400");
    fixture.CrashAll();
  }
  CHECK(fixture.sender.GetCount() >= 4);
  CHECK(fixture.sender.GetCount() <= 5 + 3);

  SECTION("the caller is told at once that it has not run, and not when to come back") {
    CHECK(caller->status == 503);
    CHECK(caller->body.find("blocked_content") != std::string::npos);
    CHECK(caller->headers.Find("Retry-After").empty());
  }
  SECTION("a request with the same other part is sent") {
    const size_t sent = fixture.sender.GetCount();
    fixture.SendPrompt("5c1e07a2:40,91bd3f06:400");
    CHECK(fixture.sender.GetCount() == sent + 1);
  }
}

// Guards against requests that were sent or queued before the part was blocked.
TEST_CASE("When a prompt part is blocked, requests with it that have not begun are withdrawn and not repeated") {
  CrashingPromptFixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.SendPrompt("bad0bad0:400");
    fixture.CrashAll();
  }
  const auto open = fixture.SendPrompt("bad0bad0:400");
  const auto sound = fixture.SendPrompt("91bd3f06:400");
  FakeAttemptSender::Sent& open_attempt = fixture.sender.At(fixture.sender.GetCount() - 2);
  FakeAttemptSender::Sent& sound_attempt = fixture.sender.At(fixture.sender.GetCount() - 1);
  fixture.SendPrompt("bad0bad0:400");
  fixture.sender.At(fixture.sender.GetCount() - 1).BeginStream();
  fixture.sender.At(fixture.sender.GetCount() - 1).FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
  fixture.AdvanceTime(Milliseconds(20));
  CHECK(open_attempt.is_cancelled);
  // It was sent, so that nobody can say that it has not run.
  CHECK(open->status == 502);
  CHECK_FALSE(sound_attempt.is_cancelled);
  CHECK(sound->status == 0);
}

}  // namespace
}  // namespace plantain

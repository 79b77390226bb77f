#include <catch2/catch.hpp>

#include "failure_type.h"
#include "forward_fake.h"

namespace plantain {
namespace {

// Header of a request whose prompt has these shared parts and one of its own.
std::vector<std::pair<std::string, std::string>> MakePrompt(const std::string& shared) {
  return {{"Plantainmast-Prefix-Hash", shared + ",0a0a0a0a:250"}};
}

struct PromptFixture : ForwardFixture {
  PromptFixture() : ForwardFixture(MakeEngines(0)) {}

  static std::vector<EndpointInfo> MakeEngines(int generation) {
    std::vector<EndpointInfo> engines;
    for (int i = 0; i < 8; ++i) {
      engines.push_back(
          MakeEndpoint("e" + std::to_string(i) + "-" + std::to_string(generation), kEnginePool, "praha", 16));
    }
    return engines;
  }

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
    fleet = MakeFleet(MakeEngines(++generation));
    traffic->SetFleet(fleet);
    AdvanceTime(Milliseconds(500));
  }

  size_t next_open = 0;
  int generation = 0;
};

// Guards against requests with one prompt part that end one engine after the other: the BUDGET incident.
TEST_CASE("After five engines have ended at a prompt part, at most three more requests with it are sent",
          "[!shouldfail]") {
  PromptFixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.SendRequest("/draft/1", "6000", MakePrompt("5c1e07a2:40,bad0bad0:400"));
    fixture.CrashAll();
  }
  REQUIRE(fixture.sender.GetCount() >= 5);
  const size_t sent_before = fixture.sender.GetCount();
  for (int i = 0; i < 10; ++i) {
    fixture.SendRequest("/draft/1", "6000", MakePrompt("5c1e07a2:40,bad0bad0:400"));
    fixture.CrashAll();
  }
  CHECK(fixture.sender.GetCount() - sent_before <= 3);
}

}  // namespace
}  // namespace plantain

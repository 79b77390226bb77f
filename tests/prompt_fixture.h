// Forwarding path of one entry in front of engines that tests end.

#ifndef PLANTAIN_TESTS_PROMPT_FIXTURE_H_
#define PLANTAIN_TESTS_PROMPT_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "forward_fake.h"

namespace plantain {

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

  // Sends a request whose prompt has these shared parts and one of its own. No two requests are alike.
  std::shared_ptr<FakeForwardCaller> SendPrompt(const std::string& shared) {
    return SendRequest("/draft/" + std::to_string(++request), "6000",
                       {{"Plantainmast-Prefix-Hash", shared + ",0a0a0a0a:250"}});
  }

  // Replaces all engines by new ones.
  void ReplaceEngines() {
    fleet = MakeFleet(MakeEngines(++generation));
    traffic->SetFleet(fleet);
    AdvanceTime(Milliseconds(500));
  }

  int request = 0;
  // First attempt that no test has answered or broken off.
  size_t next_open = 0;
  int generation = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_PROMPT_FIXTURE_H_

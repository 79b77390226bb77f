#include "kernel.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "failure_type.h"

namespace plantain {
namespace {

// Records its starts and stops in a list shared by all services of a test.
class RecordingService : public Service {
 public:
  RecordingService(std::string name, std::vector<std::string>& events, bool fails = false)
      : m_name(std::move(name)), m_events(events), m_fails(fails) {}

  absl::Status Start() override {
    m_events.push_back("start " + m_name);
    if (m_fails) return MakeFailure(FailureCode::kAddressInUse, m_name);
    return absl::OkStatus();
  }
  void Stop() override { m_events.push_back("stop " + m_name); }

 private:
  std::string m_name;
  std::vector<std::string>& m_events;
  bool m_fails;
};

// Guards against services that start before their dependencies, or stop after them.
TEST_CASE("A kernel starts and stops its services in the order of their dependencies") {
  std::vector<std::string> events;
  Kernel kernel;

  SECTION("given a service registered before the one that it needs") {
    kernel.Register("router", [&](Kernel& k) {
      k.Get<RecordingService>("members");
      return std::make_unique<RecordingService>("router", events);
    });
    kernel.Register("members", [&](Kernel&) { return std::make_unique<RecordingService>("members", events); });

    SECTION("start builds and starts the needed one first, stop goes in reverse") {
      REQUIRE(kernel.Start().ok());
      kernel.Stop();
      CHECK(events == std::vector<std::string>{"start members", "start router", "stop router", "stop members"});
    }
  }

  SECTION("given a service that fails to start") {
    kernel.Register("members", [&](Kernel&) { return std::make_unique<RecordingService>("members", events); });
    kernel.Register("router", [&](Kernel&) { return std::make_unique<RecordingService>("router", events, true); });

    SECTION("those already started are stopped and the failure keeps its type") {
      const absl::Status status = kernel.Start();
      CHECK(GetFailureCode(status) == FailureCode::kAddressInUse);
      CHECK(events == std::vector<std::string>{"start members", "start router", "stop members"});
    }
  }
}

}  // namespace
}  // namespace plantain

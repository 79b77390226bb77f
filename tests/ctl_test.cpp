#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "ctl_config.h"
#include "ctl_plan.h"
#include "ctl_type.h"
#include "document_func.h"
#include "fake_ctl_platform.h"

namespace plantain {
namespace {

const std::string kSample = std::string(PLANTAIN_SOURCE_DIR) + "/config/ustav.yaml";

// Runs command lines against a platform that keeps its state between them.
struct Runner {
  explicit Runner(FakeCtlPlatform& platform_in) : platform(platform_in) {}

  CtlExitCode Run(const std::vector<std::string>& args) {
    out.str("");
    err.str("");
    return RunCtl(args, {out, err}, [this](const CtlPlatformOptions&) -> absl::StatusOr<std::unique_ptr<CtlPlatform>> {
      return std::unique_ptr<CtlPlatform>(std::make_unique<ForwardingPlatform>(platform));
    });
  }

  // Forwards all calls to the shared platform.
  class ForwardingPlatform : public CtlPlatform {
   public:
    explicit ForwardingPlatform(FakeCtlPlatform& target) : m_target(target) {}
    absl::StatusOr<std::vector<LogRecord>> ReadConfigRecords() override { return m_target.ReadConfigRecords(); }
    absl::StatusOr<LogOffset> AppendConfigRecord(const std::string& record) override {
      return m_target.AppendConfigRecord(record);
    }
    absl::StatusOr<std::vector<VmListRow>> GetVms() override { return m_target.GetVms(); }
    std::vector<absl::StatusOr<std::string>> FetchFromAll(const std::vector<VmListRow>& vms,
                                                          const std::string& path) override {
      return m_target.FetchFromAll(vms, path);
    }
    void Wait(Duration time) override { m_target.Wait(time); }
    TimePoint GetNow() const override { return m_target.GetNow(); }
    WallTime GetWallTime() const override { return m_target.GetWallTime(); }
    std::string GenerateId() override { return m_target.GenerateId(); }

   private:
    FakeCtlPlatform& m_target;
  };

  FakeCtlPlatform& platform;
  std::ostringstream out;
  std::ostringstream err;
};

std::string ReadSample() { return *ReadTextFile(kSample); }

// Guards against a publish that is applied twice, overwrites another operator's, or is reported with a wrong outcome.
TEST_CASE("An operator publishes documents") {
  FakeCtlPlatform platform;
  Runner ctl(platform);

  SECTION("given an empty log, the first apply becomes version 1") {
    REQUIRE(ctl.Run({"apply", kSample, "--output", "json"}) == CtlExitCode::kOk);
    CHECK(nlohmann::json::parse(ctl.out.str())["version"] == 1);

    SECTION("taking a zone out shows the difference and publishes only with --yes") {
      REQUIRE(ctl.Run({"zone", "out", "brno"}) == CtlExitCode::kOk);
      CHECK(ctl.out.str().find("+     service: out") != std::string::npos);
      CHECK(platform.m_records.size() == 1);
      REQUIRE(ctl.Run({"zone", "out", "brno", "--yes"}) == CtlExitCode::kOk);
      const auto history = ReadConfigHistory(platform);
      CHECK(history->version == ConfigVersion(2));
      CHECK_FALSE(IsZoneInService(*ParseDocument("x", history->text), ZoneName("brno")));

      SECTION("and rollback publishes the earlier document as a new version") {
        REQUIRE(ctl.Run({"rollback"}) == CtlExitCode::kOk);
        CHECK(ReadConfigHistory(platform)->version == ConfigVersion(3));
        CHECK(ReadConfigHistory(platform)->text == ReadSample());
      }
    }

    SECTION("if a second operator publishes in between, the first one gets a conflict") {
      platform.m_before_append = [&] {
        PublishRequest other{ReadSample() + "# other\n", ConfigVersion(1), "other", ""};
        REQUIRE(PublishDocument(platform, other)->outcome == PublishOutcome::kAccepted);
      };
      CHECK(ctl.Run({"apply", kSample}) == CtlExitCode::kConflict);
      CHECK(ctl.err.str().find("publish_conflict") != std::string::npos);
      CHECK(ctl.err.str().find("+ # other") != std::string::npos);
      CHECK(ReadConfigHistory(platform)->version == ConfigVersion(2));
    }

    SECTION("a publish whose response was lost is found in the log and applied once") {
      platform.m_lost_responses = 1;
      REQUIRE(ctl.Run({"apply", kSample, "--output", "json"}) == CtlExitCode::kOk);
      CHECK(nlohmann::json::parse(ctl.out.str())["version"] == 2);
      CHECK(platform.m_records.size() == 2);
    }

    SECTION("history lists accepted and rejected publishes") {
      REQUIRE(ctl.Run({"apply", kSample, "--base", "0"}) == CtlExitCode::kConflict);
      REQUIRE(ctl.Run({"history", "--output", "json"}) == CtlExitCode::kOk);
      const auto rows = nlohmann::json::parse(ctl.out.str())["publishes"];
      REQUIRE(rows.size() == 2);
      CHECK(rows[0]["outcome"] == "accepted");
      CHECK(rows[1]["outcome"] == "conflict");
    }
  }

  SECTION("given an unavailable log, apply fails with log_unavailable") {
    platform.m_is_log_down = true;
    CHECK(ctl.Run({"apply", kSample}) == CtlExitCode::kFailed);
    CHECK(ctl.err.str().find("log_unavailable") != std::string::npos);
  }
}

// Guards against changes in the exit codes and texts that scripts depend on.
TEST_CASE("Invalid command lines are rejected with exit code 2") {
  FakeCtlPlatform platform;
  Runner ctl(platform);
  CHECK(ctl.Run({}) == CtlExitCode::kInvalid);
  CHECK(ctl.Run({"nonsense"}) == CtlExitCode::kInvalid);
  CHECK(ctl.Run({"apply"}) == CtlExitCode::kInvalid);
  CHECK(ctl.Run({"apply", kSample, "--nonsense"}) == CtlExitCode::kInvalid);
  CHECK(ctl.Run({"status", "--output", "xml"}) == CtlExitCode::kInvalid);
  CHECK(ctl.Run({"zone", "sideways", "brno"}) == CtlExitCode::kInvalid);
  CHECK(ctl.Run({"apply", kSample, "--wait"}) == CtlExitCode::kInvalid);
  CHECK(ctl.Run({"validate", "/nonexistent.yaml"}) == CtlExitCode::kInvalid);
  CHECK(ctl.Run({"--help"}) == CtlExitCode::kOk);
  for (const char* name : {"init", "validate", "plan", "diff", "export", "apply", "rollback", "zone", "history",
                           "status", "explain", "burn"}) {
    CHECK(ctl.Run({name, "--help"}) == CtlExitCode::kOk);
    CHECK(ctl.out.str().find("Example:") != std::string::npos);
  }
  CHECK(ctl.Run({"completion"}) == CtlExitCode::kOk);
  CHECK(ctl.out.str().find("complete -F _plantainctl plantainctl") != std::string::npos);
}

// Guards against a status that omits processes that do not respond, or that sums the progress incorrectly.
TEST_CASE("Status shows each VM and the progress of weights") {
  FakeCtlPlatform platform;
  Runner ctl(platform);
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
    VmListRow row;
    row.vm = VmId(id);
    row.zone = ZoneName("praha");
    row.kind = MemberKind::kEndpoint;
    platform.m_vms.push_back(row);
  }
  platform.m_responses["vm-1/status"] =
      R"({"config_version":3,"state":"serving","holdings":[{"model":"m","adapter":"","manifest":"ab","serving":true,"permille":1000}]})";
  platform.m_responses["vm-2/status"] =
      R"({"config_version":3,"state":"serving","holdings":[{"model":"m","adapter":"","manifest":"ab","serving":false,"permille":500}]})";

  REQUIRE(ctl.Run({"status", "--output", "json"}) == CtlExitCode::kOk);
  const auto status = nlohmann::json::parse(ctl.out.str());
  CHECK(status["vms"][2]["answering"] == false);
  CHECK(status["weights"][0]["serving"] == 1);
  CHECK(status["weights"][0]["share"] == Approx(0.75));

  REQUIRE(ctl.Run({"status"}) == CtlExitCode::kOk);
  CHECK(ctl.out.str().find("does not answer") != std::string::npos);

  SECTION("explain finds the events of a request and rejects invalid ids") {
    platform.m_responses["vm-1/events?request=r-1"] = R"({"request":"r-1","events":["event=attempt_started"]})";
    REQUIRE(ctl.Run({"explain", "r-1"}) == CtlExitCode::kOk);
    CHECK(ctl.out.str().find("attempt_started") != std::string::npos);
    CHECK(ctl.Run({"explain", "r-2"}) == CtlExitCode::kFailed);
    CHECK(ctl.Run({"explain", "a&b=c"}) == CtlExitCode::kInvalid);
  }

  SECTION("explain finds the cause in log files and names an unreadable file") {
    const std::string log = std::string(PLANTAIN_SOURCE_DIR) + "/tests/logs/refused.log";
    REQUIRE(ctl.Run({"explain", "--request", "b7ad1cebe0bfd488", log}) == CtlExitCode::kOk);
    CHECK(ctl.out.str().find("cause=capacity_lost") != std::string::npos);
    CHECK(ctl.Run({"explain", "--request", "none", log}) == CtlExitCode::kFailed);
    CHECK(ctl.Run({"explain", "--request", "b7ad1cebe0bfd488"}) == CtlExitCode::kInvalid);
    CHECK(ctl.Run({"explain", "--request", "b7ad1cebe0bfd488", "/nonexistent.log"}) == CtlExitCode::kFailed);
    CHECK(ctl.err.str().find("/nonexistent.log") != std::string::npos);
  }
}

// Guards against a plan that underestimates the data transfer of a publish.
TEST_CASE("A plan counts the affected VMs, bytes and zones") {
  const Document document = *ParseDocument(kSample, ReadSample());
  Document current = document;
  REQUIRE_FALSE(document.placements.empty());
  std::vector<VmListRow> vms;
  for (const char* zone : {"praha", "brno", "ostrava"}) {
    VmListRow row;
    row.zone = ZoneName(zone);
    row.pool = document.placements.front().pool;
    row.kind = MemberKind::kEndpoint;
    vms.push_back(row);
  }
  const LinkRates rates{BytesPerSecond(1e6), BytesPerSecond(1e6)};

  SECTION("the plan for the document in force is empty") {
    const PublishPlan plan = MakePlan(current, document, vms, rates);
    CHECK(plan.transfers.empty());
    CHECK(plan.zones.empty());
    CHECK(plan.total == Bytes(0));
  }

  SECTION("the first document transfers all weights to all VMs of their pool") {
    const PublishPlan plan = MakePlan(Document{}, document, vms, rates);
    const auto expected = GetAssignments(document, vms.front().pool);
    REQUIRE(plan.transfers.size() >= expected.size());
    CHECK(plan.transfers.front().vms == 3);
    CHECK(plan.transfers.front().remote_zones == 2);
    CHECK(plan.total.Get() == 3 * plan.origin.Get());
  }

  SECTION("a zone that returns to service is listed") {
    current.zones.front().is_in_service = false;
    const PublishPlan plan = MakePlan(current, document, vms, rates);
    REQUIRE(plan.zones.size() == 1);
    CHECK(plan.zones.front().is_in_service);
  }
}

}  // namespace
}  // namespace plantain

#include <catch2/catch.hpp>

#include "load_ledger.h"

namespace plantain::standin {
namespace {

LoadRequest MakeCall(const std::string& id, bool is_repeatable) {
  LoadRequest request;
  request.id = id;
  request.is_service = true;
  request.call = {"register", "seal", is_repeatable};
  return request;
}

LoadRequest MakeCompletion(const std::string& prompt) {
  LoadRequest request;
  request.prompt = prompt;
  return request;
}

std::string MakeLedger(const std::string& key, int count) {
  return R"({"calls":[{"call":"seal","key":")" + key + R"(","count":)" + std::to_string(count) + "}]}";
}

// Guards against a load run that passes although an at-most-once call was executed twice, or a request that was
// answered "not run" was executed.
TEST_CASE("The ledger check finds contradictions between answers and executions") {
  LedgerCheck check;
  const LoadRequest once = MakeCall("k1", false);

  SECTION("an answered call that was executed once is consistent") {
    check.AddRequest(once, ClientOutcome::kAnswered);
    REQUIRE(check.AddLedger(MakeLedger("k1", 1)));
    CHECK(check.ToJson()["checked"] == 1);
    CHECK(check.ToJson()["repeated"] == 0);
    CHECK(check.ToJson()["answered_but_not_run"] == 0);
    CHECK(check.ToJson()["examples"].empty());
  }

  SECTION("executions at two services add up") {
    check.AddRequest(once, ClientOutcome::kUnknown);
    check.AddLedger(MakeLedger("k1", 1));
    CHECK(check.ToJson()["repeated"] == 0);
    check.AddLedger(MakeLedger("k1", 1));
    CHECK(check.ToJson()["repeated"] == 1);
    CHECK(check.ToJson()["examples"][0] == "k1");
  }

  SECTION("an answered call that is in no ledger is a contradiction") {
    check.AddRequest(once, ClientOutcome::kAnswered);
    check.AddLedger(MakeLedger("k2", 1));
    CHECK(check.ToJson()["answered_but_not_run"] == 1);
  }

  SECTION("'not run' is checked for every kind of request") {
    const LoadRequest request =
        GENERATE(MakeCall("k1", false), MakeCall("k1", true), MakeCompletion("a prompt of its own"));
    check.AddRequest(request, ClientOutcome::kNotRun);
    CHECK(check.ToJson()["not_run_but_run"] == 0);
    check.AddLedger(MakeLedger(GetLedgerKey(request), 1));
    CHECK(check.ToJson()["not_run_but_run"] == 1);
  }

  SECTION("a repeatable call may be executed twice") {
    check.AddRequest(MakeCall("k1", true), ClientOutcome::kAnswered);
    check.AddLedger(MakeLedger("k1", 2));
    CHECK(check.ToJson()["repeated"] == 0);
  }

  SECTION("an invalid ledger is rejected instead of being read as empty") {
    CHECK_FALSE(check.AddLedger("{}"));
    CHECK_FALSE(check.AddLedger("<html>"));
  }
}

}  // namespace
}  // namespace plantain::standin

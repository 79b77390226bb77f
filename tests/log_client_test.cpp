#include "log_client.h"

#include <catch2/catch.hpp>
#include <string>

#include "failure_type.h"

namespace plantain {
namespace {

void AppendNumber(uint64_t value, size_t bytes, std::string& out) {
  for (size_t i = 0; i < bytes; ++i) out.push_back(static_cast<char>(value >> (8 * i)));
}

std::string MakeRecord(uint64_t offset, uint64_t time_ms, const std::string& data) {
  std::string out;
  AppendNumber(offset, 8, out);
  AppendNumber(time_ms, 8, out);
  AppendNumber(data.size(), 4, out);
  return out + data;
}

// Guards against a log response with a timestamp that overflows or with a truncated record.
TEST_CASE("Log records are decoded with bounds checks") {
  SECTION("given two complete records") {
    const auto records = ParseLogRecords(MakeRecord(7, 1'790'000'000'000, "a") + MakeRecord(8, 0, ""));
    REQUIRE(records.ok());
    REQUIRE(records->size() == 2);
    CHECK(records->front().offset == LogOffset(7));
    CHECK(records->front().data == "a");
  }

  SECTION("given a timestamp out of range") {
    const auto records = ParseLogRecords(MakeRecord(7, 72'340'172'838'076'673, "a"));
    CHECK(GetFailureCode(records.status()) == FailureCode::kProtocol);
  }

  SECTION("given a record truncated at every possible length") {
    const std::string whole = MakeRecord(7, 1, "abc");
    for (size_t size = 1; size < whole.size(); ++size) {
      CHECK(GetFailureCode(ParseLogRecords(whole.substr(0, size)).status()) == FailureCode::kProtocol);
    }
  }
}

}  // namespace
}  // namespace plantain

#include "config_fold.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "config_records.h"
#include "failure_type.h"

namespace plantain {
namespace {

using Records = std::vector<LogRecord>;

LogRecord MakeRecord(uint64_t offset, std::string data) {
  const WallTime time(std::chrono::seconds(1'780'000'000 + offset));
  return {LogOffset(offset), time, std::move(data)};
}

LogBatch MakeBatch(Records records, uint64_t first, uint64_t next) {
  return {std::move(records), LogOffset(first), LogOffset(next)};
}

// A log that retains records from a given offset and answers reads like the platform's log.
class TestLog {
 public:
  void Append(std::string data) { m_records.push_back(MakeRecord(m_records.size(), std::move(data))); }
  void ExpireBefore(uint64_t first) { m_first = first; }
  uint64_t GetEnd() const { return m_records.size(); }

  LogBatch Read(LogOffset from, size_t max) const {
    if (from.Get() < m_first) return MakeBatch({}, m_first, GetEnd());
    Records out;
    for (uint64_t i = from.Get(); i < GetEnd() && out.size() < max; ++i) out.push_back(m_records[i]);
    return MakeBatch(std::move(out), m_first, GetEnd());
  }

  const Records& GetRecords() const { return m_records; }

 private:
  Records m_records;
  uint64_t m_first = 0;
};

// Reads until the end of the log and returns all steps.
std::vector<FoldStep> FoldAll(const TestLog& log, ConfigFold& fold, size_t max = 3) {
  std::vector<FoldStep> all;
  for (;;) {
    const LogOffset before = fold.GetNextOffset();
    const LogBatch batch = log.Read(before, max);
    const bool is_end = batch.records.empty();
    const std::vector<FoldStep> steps = fold.ApplyBatch(batch);
    all.insert(all.end(), steps.begin(), steps.end());
    if (is_end && fold.GetNextOffset() == before) return all;
  }
}

// Returns a log of random publishes. Some repeat an id, have a wrong base version or an invalid document, and some
// records cannot be parsed.
TestLog MakeRandomLog(size_t count) {
  TestLog log;
  uint64_t version = 0;
  for (size_t i = 0; i < count; ++i) {
    const auto kind = *rc::gen::inRange(0, 10);
    const std::string id = "p" + std::to_string(*rc::gen::inRange<size_t>(0, count));
    if (kind == 0) {
      log.Append("garbage");
    } else if (kind == 1) {
      log.Append(MakeTestPublish(id, version, "schema: 7\n"));
    } else {
      const auto base = static_cast<uint64_t>(*rc::gen::inRange<int64_t>(0, static_cast<int64_t>(version) + 2));
      log.Append(MakeTestPublish(id, kind < 7 ? version : base, MakeTestDocument(id + std::to_string(i))));
    }
    ConfigFold fold;
    FoldAll(log, fold);
    version = fold.GetVersion().Get();
  }
  return log;
}

bool IsSameState(const ConfigFold& a, const ConfigFold& b) {
  if (a.GetVersion() != b.GetVersion()) return false;
  return a.GetView() == nullptr || a.GetView()->digest == b.GetView()->digest;
}

// Guards against concurrent publishes of two operators both taking effect, and against a retry after a lost response
// publishing twice.
TEST_CASE("The fold accepts a publish if and only if it is based on the version in force") {
  TestLog log;
  ConfigFold fold;
  log.Append(MakeTestPublish("a", 0, MakeTestDocument("a")));
  log.Append(MakeTestPublish("b", 0, MakeTestDocument("b")));
  log.Append(MakeTestPublish("a", 0, MakeTestDocument("a")));
  log.Append(MakeTestPublish("c", 1, "schema: 7\n"));
  log.Append("garbage");
  log.Append(MakeTestPublish("d", 1, MakeTestDocument("d")));
  const std::vector<FoldStep> steps = FoldAll(log, fold);

  SECTION("each record gets a verdict, and rejected publishes a typed error") {
    REQUIRE(steps.size() == 6);
    CHECK(steps[0].verdict == FoldVerdict::kAccepted);
    CHECK(steps[1].verdict == FoldVerdict::kConflict);
    CHECK(GetFailureCode(steps[1].status) == FailureCode::kPublishConflict);
    CHECK(steps[2].verdict == FoldVerdict::kRepeated);
    CHECK(steps[3].verdict == FoldVerdict::kRefused);
    CHECK(GetFailureCode(steps[3].status) == FailureCode::kDocumentField);
    CHECK(steps[4].verdict == FoldVerdict::kMalformed);
    CHECK(steps[5].verdict == FoldVerdict::kAccepted);
    CHECK(fold.GetVersion() == ConfigVersion(2));
    CHECK(fold.GetView()->publish_offset == LogOffset(5));

    SECTION("repeated records and a lower end offset change nothing") {
      CHECK(fold.ApplyBatch(log.Read(LogOffset(0), 10)).front().verdict == FoldVerdict::kDuplicate);
      CHECK(fold.ApplyBatch(MakeBatch({}, 0, 2)).front().verdict == FoldVerdict::kLogBackward);
      CHECK(fold.GetVersion() == ConfigVersion(2));
    }

    SECTION("a missing record stops the fold until it arrives") {
      log.Append(MakeTestPublish("e", 2, MakeTestDocument("e")));
      log.Append(MakeTestPublish("f", 3, MakeTestDocument("f")));
      CHECK(fold.ApplyBatch(MakeBatch({log.GetRecords()[7]}, 0, 8)).front().verdict == FoldVerdict::kGap);
      CHECK(fold.GetVersion() == ConfigVersion(2));
      FoldAll(log, fold);
      CHECK(fold.GetVersion() == ConfigVersion(4));
    }
  }
}

// Guards against readers reaching different states because the log returned records in a different order or repeatedly.
TEST_CASE("Reordered, repeated and lost records lead to the same state, and the version never decreases") {
  const bool is_ok = rc::check("delivery does not matter", [] {
    const TestLog log = MakeRandomLog(*rc::gen::inRange<size_t>(1, 12));
    ConfigFold expected;
    const std::vector<FoldStep> expected_steps = FoldAll(log, expected, 1);

    ConfigFold fold;
    std::map<std::string, int> accepted;
    ConfigVersion version;
    for (int round = 0; round < 40; ++round) {
      Records records;
      for (const LogRecord& record : log.GetRecords()) {
        for (int copies = *rc::gen::inRange(0, 3); copies > 0; --copies) records.push_back(record);
      }
      std::reverse(records.begin(), records.end());
      for (const FoldStep& step : fold.ApplyBatch(MakeBatch(records, 0, log.GetEnd()))) {
        if (step.verdict == FoldVerdict::kAccepted) ++accepted[step.publish_id];
      }
      RC_ASSERT(fold.GetVersion() >= version);
      version = fold.GetVersion();
    }
    for (const FoldStep& step : FoldAll(log, fold)) {
      if (step.verdict == FoldVerdict::kAccepted) ++accepted[step.publish_id];
    }
    RC_ASSERT(IsSameState(fold, expected));
    for (const auto& [id, count] : accepted) RC_ASSERT(count == 1);
    std::set<std::string> expected_ids;
    for (const FoldStep& step : expected_steps) {
      if (step.verdict == FoldVerdict::kAccepted) expected_ids.insert(step.publish_id);
    }
    RC_ASSERT(accepted.size() == expected_ids.size());
  });
  CHECK(is_ok);
}

// Guards against a reader that starts from a checkpoint and later makes other decisions than one that read all records.
TEST_CASE("A reader that starts from a checkpoint agrees with one that read all records") {
  const bool is_ok = rc::check("checkpoints and expiry do not matter", [] {
    const TestLog plain = MakeRandomLog(*rc::gen::inRange<size_t>(3, 14));
    // The writer of the checkpoints lags behind the log by a random number of records.
    TestLog log;
    ConfigFold writer;
    uint64_t last_usable = 0;
    for (const LogRecord& record : plain.GetRecords()) {
      log.Append(record.data);
      if (*rc::gen::inRange(0, 3) == 0) FoldAll(log, writer);
      const auto checkpoint = writer.MakeCheckpoint("w");
      if (*rc::gen::inRange(0, 3) != 0 || !checkpoint.has_value()) continue;
      last_usable = writer.GetNextOffset().Get();
      log.Append(*checkpoint);
    }
    ConfigFold old_reader;
    FoldAll(log, old_reader);
    ConfigFold without_checkpoints;
    FoldAll(plain, without_checkpoints);
    RC_ASSERT(IsSameState(old_reader, without_checkpoints));

    log.ExpireBefore(*rc::gen::inRange<uint64_t>(0, last_usable + 1));
    ConfigFold new_reader;
    FoldAll(log, new_reader);
    RC_ASSERT(new_reader.IsStarted());
    RC_ASSERT(IsSameState(new_reader, old_reader));

    const std::string next = "p" + std::to_string(*rc::gen::inRange(0, 20));
    log.Append(MakeTestPublish(next, old_reader.GetVersion().Get(), MakeTestDocument("next")));
    FoldAll(log, new_reader);
    FoldAll(log, old_reader);
    RC_ASSERT(IsSameState(new_reader, old_reader));
  });
  CHECK(is_ok);
}

// Guards against a reader that treats the first retained publish as the first publish of the stream.
TEST_CASE("A reader without a usable checkpoint waits, and can continue from a peer's document") {
  TestLog log;
  for (uint64_t i = 0; i < 4; ++i) log.Append(MakeTestPublish("p" + std::to_string(i), i, MakeTestDocument("x")));
  ConfigFold old_reader;
  FoldAll(log, old_reader);
  log.ExpireBefore(2);
  ConfigFold fold;

  SECTION("it folds no record") {
    const std::vector<FoldStep> steps = FoldAll(log, fold);
    CHECK(steps.front().verdict == FoldVerdict::kExpired);
    CHECK(steps.back().verdict == FoldVerdict::kNoStart);
    CHECK_FALSE(fold.IsStarted());
    CHECK(fold.GetVersion() == ConfigVersion(0));
    CHECK_FALSE(fold.MakeCheckpoint("w").has_value());

    SECTION("until a checkpoint is appended") {
      log.Append(*old_reader.MakeCheckpoint("w"));
      FoldAll(log, fold);
      CHECK(IsSameState(fold, old_reader));
    }
    SECTION("until a peer sends the document in force") {
      fold.StartFrom(old_reader.GetView());
      log.Append(MakeTestPublish("p4", 4, MakeTestDocument("y")));
      FoldAll(log, fold);
      CHECK(fold.GetVersion() == ConfigVersion(5));
    }
  }
  SECTION("a checkpoint that does not reach the first retained record is ignored") {
    ConfigFold early;
    early.ApplyBatch(MakeBatch({log.GetRecords()[0]}, 0, 4));
    log.Append(*early.MakeCheckpoint("w"));
    FoldAll(log, fold);
    CHECK_FALSE(fold.IsStarted());
  }
}

}  // namespace
}  // namespace plantain

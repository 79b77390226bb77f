#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "config_records.h"
#include "document_func.h"
#include "failure_type.h"
#include "log_client.h"
#include "random.h"
#include "vm_list.h"

namespace plantain {
namespace {

uint64_t GetSeed() {
  const char* text = std::getenv("SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

std::string ReadSample(const std::string& name) {
  std::ifstream in(std::string(PLANTAIN_SOURCE_DIR) + "/config/" + name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Makes one to four random edits: changes a byte, removes, duplicates or inserts a part, or truncates the text.
std::string Mutate(std::string text, const std::vector<std::string>& words, Random& random) {
  for (uint64_t changes = 1 + random.GetBelow(4); changes > 0 && !text.empty(); --changes) {
    const size_t at = random.GetBelow(text.size());
    const size_t length = random.GetBelow(std::min<size_t>(text.size() - at, 40) + 1);
    switch (random.GetBelow(5)) {
      case 0:
        text[at] = static_cast<char>(random.GetBits());
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      case 3:
        text.insert(at, words[random.GetBelow(words.size())]);
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

// Guards against documents that crash the parser, on which two processes decide differently, or that are accepted but
// cannot be written back.
TEST_CASE("Damaged documents are refused or read back the same") {
  const std::vector<std::string> words = {
      "&a ",   "*a",  "!!binary ", "{",     "}",    "[",    "]",        ": ",   "- ",
      "? ",    "|\n", "---\n",     "\"",    "'",    "#",    "~",        "\t",   "zones:\n",
      "1e999", "-0",  "0x10",      "%TAG ", "<<: ", "name", "\xff\xfe", "null", "  - pool: runners\n"};
  const std::vector<std::string> corpus = {ReadSample("ustav.yaml"), ReadSample("atlas-sol.yaml"),
                                           MakeTestDocument("small")};
  SeededRandom random(GetSeed());
  int accepted = 0;
  for (int i = 0; i < 3000; ++i) {
    const std::string text = Mutate(corpus[random.GetBelow(corpus.size())], words, random);
    const auto first = ParseDocument("fuzz", text);
    const auto second = ParseDocument("fuzz", text);
    REQUIRE(GetFailureText(first.status()) == GetFailureText(second.status()));
    if (!first.ok()) {
      CHECK(GetFailureText(first.status()).substr(0, 5) == "fuzz:");
      continue;
    }
    ++accepted;
    const std::string written = FormatDocument(*first);
    const auto again = ParseDocument("fuzz", written);
    INFO(GetFailureText(again.status()));
    REQUIRE(again.ok());
    CHECK(FormatDocument(*again) == written);
  }
  // Both outcomes must occur, otherwise the mutations test nothing.
  CHECK(accepted > 100);
  CHECK(accepted < 2900);
}

// Guards against damaged records that crash the fold or take effect.
TEST_CASE("Damaged records of the configuration log never give a version without a valid document") {
  // protobuf reports each malformed text field on standard error.
  google::protobuf::SetLogHandler(nullptr);
  SeededRandom random(GetSeed());
  ConfigFold writer;
  LogBatch batch;
  batch.records.push_back({LogOffset(0), WallTime(), MakeTestPublish("a", 0, MakeTestDocument("a"))});
  batch.next_offset = LogOffset(1);
  writer.ApplyBatch(batch);
  const std::vector<std::string> corpus = {MakeTestPublish("b", 0, MakeTestDocument("b")), *writer.MakeCheckpoint("w")};
  ConfigFold fold;
  for (uint64_t i = 0; i < 5000; ++i) {
    LogBatch damaged;
    const std::string data = Mutate(corpus[random.GetBelow(corpus.size())], {std::string(1, '\0'), "\xff"}, random);
    damaged.records.push_back({LogOffset(i), WallTime(), data});
    damaged.next_offset = LogOffset(i + 1);
    // In half of the cases the fold searches for a checkpoint.
    if (random.GetBelow(2) == 0) damaged.first_offset = LogOffset(i);
    fold.ApplyBatch(damaged);
    if (fold.GetView() != nullptr) REQUIRE(ParseDocument("view", fold.GetView()->text).ok());
  }
}

// Guards against damaged platform responses that crash a process.
TEST_CASE("Damaged answers of the VM list and of the log are refused or read in part") {
  SeededRandom random(GetSeed());
  const std::string list =
      R"({"vms":[{"id":"e1","zone":"praha","region":"cechy","kind":"entry","pool":"","address":"127.0.0.1",)"
      R"("state":"live"},{"id":"a1","zone":"brno","kind":"endpoint","pool":"p","address":"127.0.0.2","state":"leaving"}]})";
  REQUIRE(ParseVmList(list)->size() == 2);
  CHECK_FALSE(ParseVmList("[]").ok());
  CHECK_FALSE(ParseVmList(R"({"vms":3})").ok());
  for (int i = 0; i < 10'000; ++i) {
    const auto rows = ParseVmList(Mutate(list, {"null", "{}", "[[", "1e9", "\"id\":"}, random));
    if (!rows.ok()) continue;
    for (const VmListRow& row : *rows) REQUIRE_FALSE((row.vm.IsEmpty() || row.address.IsEmpty()));
  }
  // Offset, a time in 1970, length and data.
  const std::string record = std::string(13, '\1') + std::string(3, '\0') + std::string("\3\0\0\0abc", 7);
  REQUIRE(ParseLogRecords(record + record)->size() == 2);
  for (int i = 0; i < 10'000; ++i) {
    const std::string body = Mutate(record + record, {std::string(4, '\xff'), std::string(4, '\0')}, random);
    const auto records = ParseLogRecords(body);
    size_t bytes = 0;
    if (records.ok()) {
      for (const LogRecord& item : *records) bytes += item.data.size() + 20;
      REQUIRE(bytes == body.size());
    }
  }
}

}  // namespace
}  // namespace plantain

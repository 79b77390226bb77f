#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "document_func.h"
#include "failure_type.h"
#include "wrong_documents.h"

namespace plantain {
namespace {

std::string ReadSample(const std::string& name) {
  std::ifstream in(std::string(PLANTAIN_SOURCE_DIR) + "/config/" + name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Guards against invalid documents that are accepted, and against errors that do not name the line and field.
TEST_CASE("A wrong document is refused with the line and the field of each fault") {
  REQUIRE(ParseDocument("d.yaml", MakeText()).ok());
  for (const WrongDocument& wrong : GetWrongDocuments()) {
    const auto parsed = ParseDocument("d.yaml", Replace(MakeText(), wrong.from, wrong.to));
    INFO(wrong.to);
    REQUIRE_FALSE(parsed.ok());
    const std::string text = "\n" + GetFailureText(parsed.status());
    INFO(text);
    CHECK(text.find("\n" + wrong.fault) != std::string::npos);
  }
}

// Guards against error reports that stop at the first fault or that have no size limit.
TEST_CASE("Faults of one document are reported together and bounded in number") {
  SECTION("three faults give three lines") {
    std::string text = Replace(MakeText(), "floor: 0.5", "floor: 7");
    text = Replace(text, "bytes: 1024", "bytes: x");
    text = Replace(text, "    model: posudek", "    model: other");
    const auto parsed = ParseDocument("d.yaml", text);
    const std::string faults = GetFailureText(parsed.status());
    CHECK(std::count(faults.begin(), faults.end(), '\n') == 2);
  }
  SECTION("a thousand faults give at most 51 lines") {
    std::string text = MakeText();
    for (int i = 0; i < 1000; ++i) text += "unknown_" + std::to_string(i) + ": 1\n";
    const std::string faults = GetFailureText(ParseDocument("d.yaml", text).status());
    CHECK(std::count(faults.begin(), faults.end(), '\n') == 50);
    CHECK(faults.find("950 further faults") != std::string::npos);
  }
}

std::string MakeLongText() {
  constexpr size_t kLongText = 10'000'000;
  std::string text;
  text.resize(kLongText, 'a');
  return text;
}

// Guards against documents that use much time or memory before they are rejected.
TEST_CASE("Documents beyond the limits are refused with a type of their own") {
  const auto get_code = [](const std::string& text) { return GetFailureCode(ParseDocument("d.yaml", text).status()); };
  SECTION("ten megabytes") { CHECK(get_code(MakeLongText()) == FailureCode::kDocumentTooLarge); }
  SECTION("deep nesting in flow form") {
    const std::string text = "a: " + std::string(250'000, '[') + std::string(250'000, ']');
    CHECK(get_code(text) == FailureCode::kDocumentTooLarge);
  }
  SECTION("deep nesting that is never closed") {
    CHECK(get_code("a: " + std::string(500'000, '[')) == FailureCode::kDocumentSyntax);
  }
  SECTION("deep nesting in block form") {
    std::string text;
    for (int i = 0; i < 300'000; ++i) text += "- ";
    CHECK(get_code(text) == FailureCode::kDocumentTooLarge);
  }
  SECTION("anchors that expand themselves") {
    std::string text = "a0: &a0 [x, x]\n";
    for (int i = 1; i < 30; ++i) {
      const std::string last = std::to_string(i - 1);
      text += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [*a" + last + ", *a" + last + "]\n";
    }
    CHECK(get_code(text) == FailureCode::kDocumentSyntax);
  }
  SECTION("too many items") {
    std::string text = "zones: [";
    for (int i = 0; i < 200'000; ++i) text += "a, ";
    CHECK(get_code(text + "]") == FailureCode::kDocumentTooLarge);
  }
  SECTION("no document at all") { CHECK(get_code("") == FailureCode::kDocumentField); }
  SECTION("two documents") { CHECK(get_code(MakeText() + "---\n" + MakeText()) == FailureCode::kDocumentSyntax); }
  SECTION("a zero byte") { CHECK(get_code(std::string("schema: 1\n\0", 11)) == FailureCode::kDocumentSyntax); }
}

// Guards against an edit that loses comments or changes another zone.
TEST_CASE("A zone's service field is changed in place") {
  const std::string text = ReadSample("ustav.yaml");
  SECTION("out and in again gives the same text") {
    const auto out = SetZoneServiceInText("u.yaml", text, ZoneName("brno"), false);
    REQUIRE(out.ok());
    const auto document = ParseDocument("u.yaml", *out);
    REQUIRE(document.ok());
    CHECK_FALSE(IsZoneInService(*document, ZoneName("brno")));
    CHECK(IsZoneInService(*document, ZoneName("ostrava")));
    const auto back = SetZoneServiceInText("u.yaml", *out, ZoneName("brno"), true);
    REQUIRE(back.ok());
    CHECK(*back == text);
  }
  SECTION("a zone in flow form is changed too") {
    const auto out = SetZoneServiceInText("d.yaml", MakeText(), ZoneName("brno"), true);
    REQUIRE(out.ok());
    CHECK(*out == Replace(MakeText(), "service: out", "service: in"));
  }
  SECTION("a zone without the field gets one") {
    const std::string plain = Replace(text, "    region: cechy\n    service: in\n", "    region: cechy\n");
    const auto out = SetZoneServiceInText("u.yaml", plain, ZoneName("praha"), false);
    REQUIRE(out.ok());
    CHECK(out->find("  - name: praha\n    service: out\n") != std::string::npos);
  }
  SECTION("the last zone cannot be taken out") {
    const auto out = SetZoneServiceInText("d.yaml", MakeText(), ZoneName("praha"), false);
    CHECK(GetFailureCode(out.status()) == FailureCode::kDocumentImpossible);
  }
  SECTION("an unknown zone is not found") {
    const auto out = SetZoneServiceInText("d.yaml", MakeText(), ZoneName("plzen"), false);
    CHECK(GetFailureCode(out.status()) == FailureCode::kNotFound);
  }
}

// Guards against sample documents that the parser no longer accepts, and against a writer that loses fields.
TEST_CASE("Sample documents are valid and read back the same after writing") {
  for (const std::string name : {"ustav.yaml", "atlas-sol.yaml"}) {
    const auto document = ParseDocument(name, ReadSample(name));
    INFO(GetFailureText(document.status()));
    REQUIRE(document.ok());
    const std::string written = FormatDocument(*document);
    const auto again = ParseDocument(name, written);
    REQUIRE(again.ok());
    CHECK(FormatDocument(*again) == written);
    CHECK(GetAssignments(*again, PoolName("runners")).size() >= 2);
  }
}

}  // namespace
}  // namespace plantain

#include "completion_stream.h"
#include "hex_text.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <vector>

namespace plantain {
namespace {

const Digest kManifest(std::string(32, '\x5a'));

std::string MakeEvent(const std::string& id, int index, const std::string& token, const std::string& weights) {
  return R"(data: {"id":")" + id + R"(","index":)" + std::to_string(index) + R"(,"token":")" + token +
         R"(","weights":")" + weights + "\"}\n\n";
}

// Guards against forwarding tokens of another request, from other weights or at the wrong index to a caller.
TEST_CASE("Completion stream forwards only in-order tokens of its request and weights") {
  std::vector<std::string> tokens;
  const auto on_token = [&tokens](uint32_t, const std::string& text) { tokens.push_back(text); };
  CompletionStream stream(StreamExpectation{"r1", kManifest, 3}, on_token);
  const std::string weights = FormatHex(kManifest.Get());

  SECTION("an answer fed byte by byte is complete at the end-of-stream marker") {
    const std::string answer = MakeEvent("r1", 3, "a", weights) + MakeEvent("r1", 4, "b", weights) + "data: [DONE]\n\n";
    for (const char c : answer) stream.Feed(std::string_view(&c, 1));
    CHECK(stream.Feed({}) == StreamState::kComplete);
    CHECK(tokens == std::vector<std::string>{"a", "b"});
    CHECK(stream.GetNextIndex() == 5);
  }

  SECTION("a token from other weights ends the stream and is not forwarded") {
    stream.Feed(MakeEvent("r1", 3, "a", weights));
    const std::string other(64, 'e');
    CHECK(stream.Feed(MakeEvent("r1", 4, "x", other)) == StreamState::kWeightsMismatch);
    CHECK(FormatHex(stream.GetMismatchedManifest().Get()) == other);
    CHECK(tokens == std::vector<std::string>{"a"});
    CHECK(stream.Feed(MakeEvent("r1", 4, "b", weights)) == StreamState::kWeightsMismatch);
    CHECK(tokens.size() == 1);
  }

  SECTION("a token of another request invalidates the stream") {
    CHECK(stream.Feed(MakeEvent("r2", 3, "x", weights)) == StreamState::kInvalid);
    CHECK(tokens.empty());
  }

  SECTION("a token out of order invalidates the stream") {
    CHECK(stream.Feed(MakeEvent("r1", 4, "x", weights)) == StreamState::kInvalid);
    CHECK(tokens.empty());
  }

  SECTION("an event that is not a token invalidates the stream") {
    CHECK(stream.Feed("data: {\"index\":3}\n\n") == StreamState::kInvalid);
  }

  SECTION("an event above the size limit invalidates the stream") {
    const std::string piece(16 * 1024, 'x');
    StreamState state = stream.Feed("data: ");
    for (int i = 0; i < 5; ++i) state = stream.Feed(piece);
    CHECK(state == StreamState::kInvalid);
  }
}

// Guards against events that depend on how the input is split into reads, and against comments or CR LF in the data.
TEST_CASE("Server-sent event parser accepts any line ending and any split of the input") {
  std::vector<std::string> events;
  SseParser parser(1024, [&events](std::string_view data) { events.emplace_back(data); });

  SECTION("lines may end in LF, CR or CR LF, and other fields are ignored") {
    CHECK(parser.Feed("event: x\r\ndata: a\r\n\r\n: comment\ndata:b\ndata: c\n\nid: 7\rdata: d\r\r").ok());
    CHECK(events == std::vector<std::string>{"a", "b\nc", "d"});
  }

  SECTION("a line above the size limit fails") {
    CHECK_FALSE(parser.Feed(std::string(2000, 'x')).ok());
    CHECK_FALSE(parser.Feed("\n").ok());
  }

  SECTION("any split of the input gives the same events") {
    CHECK(rc::check("events do not depend on the split", [] {
      const std::string bytes = "data: one\r\n\r\ndata: two\n\ndata: three\ndata: lines\n\n";
      std::vector<std::string> seen;
      SseParser cut(1024, [&seen](std::string_view data) { seen.emplace_back(data); });
      const size_t size = *rc::gen::inRange<size_t>(1, 9);
      for (size_t i = 0; i < bytes.size(); i += size) RC_ASSERT(cut.Feed(std::string_view(bytes).substr(i, size)).ok());
      RC_ASSERT((seen == std::vector<std::string>{"one", "two", "three\nlines"}));
    }));
  }
}

}  // namespace
}  // namespace plantain

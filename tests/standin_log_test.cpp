#include <catch2/catch.hpp>

#include "log_store.h"

namespace plantain::standin {
namespace {

constexpr size_t kHeaderBytes = 20;
constexpr uint64_t kNoEnd = ~uint64_t{0};

uint64_t GetLittleEndian(const std::string& bytes, size_t at, int size) {
  uint64_t value = 0;
  for (int i = 0; i < size; ++i) value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  return value;
}

// Guards against offsets that change or repeat when old records expire. Readers rely on them to apply each record
// once and in order.
TEST_CASE("The log keeps consecutive offsets while old records expire") {
  VirtualClock clock;
  LogStore log(clock, std::chrono::seconds(10));

  SECTION("offsets start at 0") {
    CHECK(log.Append("a") == 0);
    CHECK(log.Append("b") == 1);
    CHECK(log.GetFirstOffset() == 0);
    CHECK(log.GetNextOffset() == 2);

    SECTION("a record expires only once it is older than the retention time") {
      clock.Advance(std::chrono::seconds(6));
      CHECK(log.Append("c") == 2);
      clock.Advance(std::chrono::seconds(4));
      log.Expire();
      CHECK(log.GetFirstOffset() == 0);
      clock.Advance(Milliseconds(1));
      log.Expire();
      CHECK(log.GetFirstOffset() == 2);

      SECTION("the next offset does not change when all records have expired") {
        clock.Advance(std::chrono::seconds(60));
        log.Expire();
        CHECK(log.GetFirstOffset() == 3);
        CHECK(log.GetNextOffset() == 3);
        CHECK(log.Append("d") == 3);
      }
    }
  }

  SECTION("a retention time of zero keeps all records") {
    log.SetRetention(Duration(0));
    log.Append("a");
    clock.Advance(std::chrono::hours(1000));
    log.Expire();
    CHECK(log.GetFirstOffset() == 0);
  }
}

// Guards against changes of the binary record format, which readers parse.
TEST_CASE("A log read returns the offset, time, length and bytes of each record") {
  VirtualClock clock;
  LogStore log(clock, Duration(0));
  log.Append("first");
  clock.Advance(Milliseconds(7));
  log.Append("");
  log.Append("third");
  uint64_t next = 0;

  SECTION("the header is little endian") {
    const std::string bytes = log.Read(1, 2, kNoEnd, next);
    REQUIRE(bytes.size() == 2 * kHeaderBytes + 5);
    const auto wall = std::chrono::duration_cast<Milliseconds>(clock.GetWallTime().time_since_epoch());
    CHECK(GetLittleEndian(bytes, 0, 8) == 1);
    CHECK(GetLittleEndian(bytes, 8, 8) == static_cast<uint64_t>(wall.count()));
    CHECK(GetLittleEndian(bytes, 16, 4) == 0);
    CHECK(GetLittleEndian(bytes, kHeaderBytes, 8) == 2);
    CHECK(bytes.substr(2 * kHeaderBytes) == "third");
    CHECK(next == 3);
  }

  SECTION("a read returns at most the requested number of records") {
    CHECK(log.Read(0, 1, kNoEnd, next).size() == kHeaderBytes + 5);
    CHECK(next == 1);
  }

  SECTION("a rewound log hides its newest records") {
    log.Read(0, 100, 2, next);
    CHECK(next == 2);
    CHECK(log.Read(2, 100, 2, next).empty());
    CHECK(next == 2);
  }

  SECTION("a read past the end is empty") {
    CHECK(log.Read(9, 100, kNoEnd, next).empty());
    CHECK(next == 9);
  }
}

}  // namespace
}  // namespace plantain::standin

#include "caller_memory.h"

#include <catch2/catch.hpp>
#include <functional>
#include <vector>

namespace plantain {
namespace {

constexpr size_t kMiB = 1024 * 1024;
constexpr size_t kLimit = 8 * kMiB;
constexpr size_t kLargeLimit = kLimit - kLimit / 4;
constexpr size_t kChunk = 16 * 1024;
constexpr size_t kSmallRequest = 20 * 1024;

// A connection that frees all it holds when it is shed, and closes if its descriptor is needed.
class FakeConnection : public CallerConnection {
 public:
  explicit FakeConnection(const std::shared_ptr<CallerMemory>& memory) : m_account(memory, *this) {
    m_account.SetState(CallerState::kReading);
  }

  void Shed(ShedCause cause) override {
    is_shed = true;
    held = 0;
    m_account.SetState(CallerState::kClosing);
    m_account.Set(0);
    if (cause == ShedCause::kConnections) m_account.Leave();
  }

  // Receives so many bytes, as far as it may hold them. Returns whether it holds them all.
  bool Receive(size_t bytes) {
    for (size_t i = 0; i < bytes && !is_shed; i += kChunk) {
      m_account.RecordProgress(kChunk);
      if (!m_account.Reserve(held + kChunk)) {
        Shed(ShedCause::kMemory);
        return false;
      }
      held += kChunk;
    }
    return !is_shed;
  }

  CallerAccount& GetAccount() { return m_account; }

  size_t held = 0;
  bool is_shed = false;

 private:
  CallerAccount m_account;
};

struct MemoryFixture {
  explicit MemoryFixture(CallerMemoryLimits limits = {kLimit, 2 * kLimit, 1000})
      : memory(std::make_shared<CallerMemory>(clock, limits)) {}

  std::unique_ptr<FakeConnection> Connect() { return std::make_unique<FakeConnection>(memory); }

  std::vector<std::unique_ptr<FakeConnection>> Connect(size_t count) {
    std::vector<std::unique_ptr<FakeConnection>> connections;
    for (size_t i = 0; i < count; ++i) connections.push_back(Connect());
    return connections;
  }

  VirtualClock clock;
  std::shared_ptr<CallerMemory> memory;
};

// Guards against bodies that stop short of their end and take the memory of the process together, and against a bound
// that keeps those and refuses everyone who comes later.
TEST_CASE("Bodies that stop hold no more than the limit together, and make room for one that goes on") {
  MemoryFixture fixture;
  const auto stopped = fixture.Connect(60);
  for (const auto& connection : stopped) {
    connection->Receive(kMiB);
    REQUIRE(fixture.memory->GetUsed() <= kLargeLimit);
  }
  fixture.clock.Advance(std::chrono::seconds(1));

  SECTION("of the largest allowed size") {
    const auto sound = fixture.Connect();
    for (size_t i = 0; i < 4; ++i) {
      CHECK(sound->Receive(kMiB));
      fixture.clock.Advance(Milliseconds(20));
    }
    CHECK_FALSE(sound->is_shed);
  }
  SECTION("of an ordinary size, for each of many at once") {
    const auto sound = fixture.Connect(100);
    for (const auto& connection : sound) CHECK(connection->Receive(kSmallRequest));
  }
  CHECK(fixture.memory->GetUsed() <= kLimit);
}

// Guards against large requests that are all in progress and leave nothing to ordinary ones.
TEST_CASE("Large requests take no memory that is reserved for small ones") {
  MemoryFixture fixture;
  const auto large = fixture.Connect(20);
  for (size_t i = 0; i < 20; ++i) {
    for (const auto& connection : large) connection->Receive(64 * kChunk / 20);
    fixture.clock.Advance(Milliseconds(1));
  }
  const auto small = fixture.Connect(90);
  for (const auto& connection : small) CHECK(connection->Receive(kSmallRequest));
  CHECK(fixture.memory->GetUsed() <= kLimit);

  SECTION("nor the place of small ones") {
    const auto one_more = fixture.Connect();
    one_more->Receive(4 * kMiB);
    for (const auto& connection : small) CHECK_FALSE(connection->is_shed);
  }
}

// Guards against a caller that sends single bytes and thereby counts as making progress.
TEST_CASE("A connection that sends single bytes is shed before one that sends its body") {
  MemoryFixture fixture;
  const auto trickling = fixture.Connect();
  REQUIRE(trickling->Receive(2 * kMiB));
  const auto sound = fixture.Connect();
  REQUIRE(sound->Receive(3 * kMiB));
  for (int i = 0; i < 100; ++i) {
    fixture.clock.Advance(Milliseconds(5));
    trickling->GetAccount().RecordProgress(1);
    sound->GetAccount().RecordProgress(kChunk);
  }
  CHECK(sound->Receive(2 * kMiB));
  CHECK(trickling->is_shed);
}

// Guards against a request that is cut while it runs, although its caller has done all that it can.
TEST_CASE("A request that waits for its answer is not shed") {
  MemoryFixture fixture;
  const auto running = fixture.Connect();
  REQUIRE(running->Receive(5 * kMiB));
  running->GetAccount().SetState(CallerState::kHandled);
  fixture.clock.Advance(std::chrono::seconds(5));

  SECTION("for a large one, which is refused instead") {
    const auto late = fixture.Connect();
    CHECK_FALSE(late->Receive(2 * kMiB));
  }
  SECTION("and small ones are read beside it") {
    const auto late = fixture.Connect();
    CHECK(late->Receive(kSmallRequest));
  }
  SECTION("until its caller does not take the answer") {
    running->GetAccount().SetState(CallerState::kWriting);
    fixture.clock.Advance(Milliseconds(100));
    const auto late = fixture.Connect();
    CHECK(late->Receive(2 * kMiB));
    CHECK(running->is_shed);
    return;
  }
  CHECK_FALSE(running->is_shed);
}

// Guards against answers that callers do not read: they grow without asking first.
TEST_CASE("Answers beyond the limit are shed, the one that is read least first") {
  MemoryFixture fixture;
  const auto unread = fixture.Connect();
  const auto read = fixture.Connect();
  for (const auto* connection : {&unread, &read}) {
    (*connection)->GetAccount().SetState(CallerState::kWriting);
    (*connection)->GetAccount().Set(3 * kMiB);
  }
  fixture.clock.Advance(Milliseconds(200));
  read->GetAccount().RecordProgress(kChunk);
  CHECK_FALSE(fixture.memory->IsOver());
  read->GetAccount().Set(4 * kMiB);
  REQUIRE(fixture.memory->IsOver());
  fixture.memory->ShedExcess();
  CHECK(unread->is_shed);
  CHECK_FALSE(read->is_shed);
  CHECK_FALSE(fixture.memory->IsOver());
}

// Guards against a process without descriptors, which can neither accept connections nor reach endpoints.
TEST_CASE("Connections are bounded, and the one that has waited longest makes place for a new one") {
  MemoryFixture fixture({kLimit, kLimit, 3});
  auto connections = fixture.Connect(3);
  fixture.clock.Advance(std::chrono::seconds(1));
  connections[0]->GetAccount().SetState(CallerState::kHandled);
  connections[2]->GetAccount().RecordProgress(kChunk);
  REQUIRE(fixture.memory->AdmitConnection());
  CHECK_FALSE(connections[0]->is_shed);
  CHECK(connections[1]->is_shed);
  CHECK_FALSE(connections[2]->is_shed);

  SECTION("unless all run a request") {
    connections.push_back(fixture.Connect());
    for (const auto& connection : connections) connection->GetAccount().SetState(CallerState::kHandled);
    CHECK_FALSE(fixture.memory->AdmitConnection());
  }
}

// Guards against memory that stays counted after a connection has ended, or is freed twice.
TEST_CASE("A connection returns what it held") {
  MemoryFixture fixture;
  auto connection = fixture.Connect();
  REQUIRE(connection->Receive(kMiB));
  connection->GetAccount().Leave();
  // Its request may go on at an endpoint.
  CHECK(fixture.memory->GetUsed() == kMiB);
  CHECK(fixture.memory->GetConnectionCount() == 0);
  connection.reset();
  CHECK(fixture.memory->GetUsed() == 0);
}

// Guards against limits under which a lone request that operators allow is refused.
TEST_CASE("The largest allowed request fits on the smallest VMs") {
  constexpr size_t kBody = 4 * kMiB;
  constexpr size_t kHeader = 16 * 1024;
  const CallerMemoryLimits limits = ComputeCallerMemoryLimits(Bytes(112 * kMiB), 4, 2870, 1);
  MemoryFixture fixture(limits);
  const auto connection = fixture.Connect();

  SECTION("in the memory that callers have by default") {
    fixture.memory->SetLargestRequest(kHeader, kBody);
    CHECK(fixture.memory->GetLimit() == 28 * kMiB);
    CHECK(connection->GetAccount().Reserve(kConnectionBytes + 3 * (kHeader + kBody)));
  }
  SECTION("in more than that if it needs more") {
    fixture.memory->SetLargestRequest(kHeader, 2 * kBody);
    CHECK(connection->GetAccount().Reserve(kConnectionBytes + 3 * (kHeader + 2 * kBody)));
  }
  SECTION("unless it does not fit into the VM") {
    fixture.memory->SetLargestRequest(kHeader, 64 * kMiB);
    CHECK(fixture.memory->GetLimit() == 56 * kMiB);
  }
  CHECK(limits.connections >= 1400);
  CHECK(limits.connections <= 2870 / 2);
}

}  // namespace
}  // namespace plantain

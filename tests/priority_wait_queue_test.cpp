#include "priority_wait_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "retry_after.h"
#include "wait_queue.h"

namespace plantain {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr FlowId kFlow(1);

struct Fixture {
  void Add(uint64_t ticket, uint32_t priority, bool is_late = false, FlowId flow = kFlow,
           Duration wait = std::chrono::seconds(1)) {
    queue.Add({WaitTicket(ticket), priority, is_late, kStart + wait, flow});
  }

  // Serves the next request and returns it.
  WaitingRequest Serve(TimePoint now = kStart) {
    const WaitTicket ticket = queue.GetNext(1).front();
    for (const WaitingRequest& request : queue.GetRequests()) {
      if (request.ticket != ticket) continue;
      queue.OnServed(request, now);
      queue.Remove(ticket);
      return request;
    }
    return {};
  }

  PriorityWaitQueue queue;
};

// Guards against a less urgent request that overtakes an urgent one because its longer target keeps it in time.
TEST_CASE("Requests in time go first by priority, then late ones by priority") {
  Fixture fixture;
  fixture.Add(1, 2);
  fixture.Add(2, 0, true);
  fixture.Add(3, 1);
  fixture.Add(4, 0);
  fixture.Add(5, 2, true);
  fixture.Add(6, 0);
  CHECK(fixture.queue.GetNext(6) == std::vector<WaitTicket>{WaitTicket(4), WaitTicket(6), WaitTicket(3), WaitTicket(1),
                                                            WaitTicket(2), WaitTicket(5)});
  CHECK(fixture.queue.GetNext(2).size() == 2);
  CHECK(fixture.queue.IsLate(WaitTicket(2)));
  CHECK_FALSE(fixture.queue.IsLate(WaitTicket(1)));

  SECTION("the queue of a pool with one priority keeps the order that it had") {
    WaitQueue single;
    for (const WaitingRequest& request : fixture.queue.GetRequests()) single.Add(request);
    CHECK(single.GetRequests().size() == 6);
    CHECK(single.RemoveHopeless(0, kStart).empty());
  }
}

// Guards against a priority that gets nothing while more urgent requests fill all slots, and against floors that give
// the lower priorities more than they are owed. Load pattern: 40 slots for requests of which there are always more.
TEST_CASE("Each waiting priority gets one slot in eight, and the most urgent one the rest") {
  Fixture fixture;
  std::map<uint32_t, int> served;
  uint64_t ticket = 0;
  for (int i = 0; i < 400; ++i) {
    for (const uint32_t priority : {0, 1, 2}) fixture.Add(++ticket, priority);
    ++served[fixture.Serve().priority];
  }
  CHECK(served[1] >= 49);
  CHECK(served[2] >= 49);
  CHECK(served[0] >= 400 - 2 * 51);
}

// Guards against a floor that is never reached because the entry has so few slots that each waiting request gives up
// before its turn.
TEST_CASE("A priority is owed its slot although its requests give up meanwhile") {
  Fixture fixture;
  uint64_t ticket = 0;
  std::set<uint32_t> served;
  for (int i = 0; i < 8; ++i) {
    fixture.Add(++ticket, 0);
    const uint64_t given_up = ++ticket;
    fixture.Add(given_up, 2);
    served.insert(fixture.Serve().priority);
    fixture.queue.Remove(WaitTicket(given_up));
  }
  CHECK(served.contains(2));
}

// Guards against late requests that are refused for ever although their priority is owed a slot.
TEST_CASE("A late request is due when its priority is") {
  Fixture fixture;
  fixture.Add(1, 2, true);
  for (uint64_t ticket = 2; ticket <= 8; ++ticket) {
    CHECK_FALSE(fixture.queue.IsDue(WaitTicket(1)));
    fixture.Add(ticket, 0);
    CHECK(fixture.Serve().priority == 0);
  }
  CHECK(fixture.queue.IsDue(WaitTicket(1)));
  CHECK(fixture.queue.GetNext(1).front() == WaitTicket(1));
}

// Guards against a tenant that delays the others of its priority by sending many requests at once.
TEST_CASE("A burst of one flow delays its own requests first") {
  Fixture fixture;
  const FlowId burst(7);
  const FlowId calm(8);
  for (uint64_t ticket = 1; ticket <= 20; ++ticket) fixture.Add(ticket, 1, false, burst);
  fixture.Add(21, 1, false, calm);
  fixture.Add(22, 1, false, calm);
  std::vector<FlowId> order;
  for (int i = 0; i < 5; ++i) order.push_back(fixture.Serve().flow);
  CHECK(order == std::vector<FlowId>{burst, calm, burst, calm, burst});

  SECTION("a flow that did not wait has saved nothing up") {
    for (uint64_t ticket = 30; ticket < 40; ++ticket) fixture.Add(ticket, 1, false, FlowId(9));
    std::map<FlowId, int> served;
    for (int i = 0; i < 10; ++i) ++served[fixture.Serve().flow];
    CHECK(served[FlowId(9)] == 5);
  }
  SECTION("a request of the calm flow is accepted where one of the burst is not") {
    // About 10 slots/s.
    for (int i = 0; i < 10; ++i) fixture.queue.OnServed({WaitTicket(99), 1, false, {}}, kStart);
    const WaitingRequest of_burst{WaitTicket(50), 1, false, kStart + seconds(1), burst};
    const WaitingRequest of_calm{WaitTicket(51), 1, false, kStart + seconds(1), calm};
    CHECK_FALSE(fixture.queue.CanServeInTime(of_burst, kStart));
    CHECK(fixture.queue.CanServeInTime(of_calm, kStart));
  }
}

// Guards against urgent requests that are refused because less urgent ones wait, and against waiting requests that are
// kept although those that came before them leave them no time.
TEST_CASE("An urgent arrival is accepted, and requests that it makes too late are shed") {
  Fixture fixture;
  // About 20 slots/s, all of priority 2.
  for (int i = 0; i < 20; ++i) fixture.queue.OnServed({WaitTicket(99), 2, false, {}}, kStart);
  for (uint64_t ticket = 1; ticket <= 8; ++ticket) fixture.Add(ticket, 2, false, kFlow, Milliseconds(400));
  CHECK(fixture.queue.RemoveHopeless(0, kStart).empty());
  const WaitingRequest urgent{WaitTicket(20), 0, false, kStart + Milliseconds(200), kFlow};
  CHECK(fixture.queue.CanServeInTime(urgent, kStart));
  for (uint64_t ticket = 20; ticket < 24; ++ticket) {
    fixture.queue.Add({WaitTicket(ticket), 0, false, kStart + Milliseconds(200), kFlow});
  }
  CHECK(fixture.queue.RemoveHopeless(2, kStart).empty());
  const std::vector<WaitTicket> shed = fixture.queue.RemoveHopeless(0, kStart);
  CHECK(shed == std::vector<WaitTicket>{WaitTicket(8)});
  CHECK(fixture.queue.GetSize() == 11);
}

// Guards against callers that return all at once, less urgent ones first, or before a slot can be free.
TEST_CASE("Refused callers come back by priority, within three seconds") {
  SeededRandom random(20261206);
  for (const Duration turn : {Milliseconds(0), Milliseconds(900), Milliseconds(5000)}) {
    Duration longest_before{};
    for (size_t rank = 0; rank < 3; ++rank) {
      Duration shortest = seconds(60);
      Duration longest{};
      for (int i = 0; i < 100; ++i) {
        const Duration after = ComputeRetryAfter({turn, {}, rank, 3}, random);
        shortest = std::min(shortest, after);
        longest = std::max(longest, after);
      }
      CHECK(shortest >= longest_before);
      CHECK(shortest >= std::min<Duration>(turn, Milliseconds(2400)));
      CHECK(longest <= seconds(3));
      longest_before = longest;
    }
  }

  SECTION("a stated pause is waited for") {
    CHECK(ComputeRetryAfter({{}, seconds(8), 0, 3}, random) >= seconds(8));
    CHECK(ComputeRetryAfter({{}, seconds(40), 2, 3}, random) == seconds(30));
  }
}

}  // namespace
}  // namespace plantain

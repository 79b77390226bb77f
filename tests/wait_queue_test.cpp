#include "wait_queue.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace plantain {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against an order of service that starves a priority under overload, and against accepting requests that cannot
// be served in time.
TEST_CASE("Waiting requests are served by priority without starvation") {
  WaitQueue wait_queue;
  const auto add = [&](uint64_t ticket, uint32_t priority, bool is_late = false) {
    wait_queue.Add({WaitTicket(ticket), priority, is_late, kStart + seconds(1)});
  };

  SECTION("requests that can meet their target first, then by priority, then by arrival") {
    add(1, 0, true);
    add(2, 1);
    add(3, 0);
    add(4, 1);
    add(5, 1, true);
    CHECK(wait_queue.GetNext(5) ==
          std::vector<WaitTicket>{WaitTicket(3), WaitTicket(2), WaitTicket(4), WaitTicket(1), WaitTicket(5)});
  }
  SECTION("under a steady stream of urgent requests every fourth slot goes to the longest waiting one") {
    add(1, 5);
    uint64_t next = 2;
    int picks = 0;
    while (wait_queue.GetSize() > 0 && picks < 10) {
      add(next++, 0);
      const WaitTicket picked = wait_queue.GetNext(1).front();
      wait_queue.Remove(picked);
      wait_queue.RecordServed(false, kStart);
      ++picks;
      if (picked == WaitTicket(1)) break;
    }
    CHECK(picks == 4);
  }
  SECTION("a request that cannot be served in time is refused on arrival") {
    for (int i = 0; i < 10; ++i) wait_queue.RecordServed(false, kStart);
    for (uint64_t i = 1; i <= 4; ++i) add(i, 1);
    const WaitingRequest long_wait{WaitTicket(9), 1, false, kStart + seconds(1)};
    const WaitingRequest short_wait{WaitTicket(9), 1, false, kStart + Milliseconds(100)};
    CHECK(wait_queue.CanServeInTime(long_wait, kStart));
    CHECK_FALSE(wait_queue.CanServeInTime(short_wait, kStart));
  }
  SECTION("late requests are accepted only within the remaining capacity") {
    for (int i = 0; i < 10; ++i) wait_queue.RecordServed(false, kStart);
    add(1, 1, true);
    const WaitingRequest late{WaitTicket(9), 1, true, kStart + seconds(1)};
    CHECK_FALSE(wait_queue.CanServeInTime(late, kStart));
    for (int i = 0; i < 5; ++i) wait_queue.RecordServed(true, kStart);
    CHECK(wait_queue.CanServeInTime(late, kStart));
  }
  SECTION("requests expire at their time limit") {
    add(1, 1);
    CHECK(wait_queue.RemoveExpired(kStart).empty());
    CHECK(wait_queue.RemoveExpired(kStart + seconds(1)) == std::vector<WaitTicket>{WaitTicket(1)});
    CHECK(wait_queue.GetSize() == 0);
  }
}

// Simulates an overload in which the endpoints have capacity for two thirds of the offered requests, and each refused
// caller retries once, too late to meet its latency target.
struct Overload {
  static constexpr Duration kStep = Milliseconds(10);
  static constexpr Duration kOnTimeWait = Milliseconds(180);
  static constexpr Duration kLateWait = Milliseconds(800);

  void Arrive(uint32_t priority, bool is_late) {
    ++m_last_ticket;
    const WaitingRequest request{WaitTicket(m_last_ticket), priority, is_late,
                                 m_now + (is_late ? kLateWait : kOnTimeWait)};
    if (wait_queue.CanServeInTime(request, m_now)) {
      wait_queue.Add(request);
      m_is_late[WaitTicket(m_last_ticket)] = is_late;
    } else if (!is_late) {
      retries.push_back({m_now + std::chrono::seconds(1), priority});
    }
  }

  void ServeNext() {
    const std::vector<WaitTicket> next = wait_queue.GetNext(1);
    if (next.empty()) return;
    const bool is_late = m_is_late[next.front()];
    wait_queue.Remove(next.front());
    wait_queue.RecordServed(is_late, m_now);
    ++(is_late ? late : on_time);
  }

  // 150 requests arrive per second, and 100 per second can be served.
  void Run(Duration length) {
    int step = 0;
    for (const TimePoint end = m_now + length; m_now < end; m_now += kStep, ++step) {
      Arrive(step % 2, false);
      if (step % 2 == 0) Arrive(1, false);
      while (!retries.empty() && retries.front().first <= m_now) {
        Arrive(retries.front().second, true);
        retries.pop_front();
      }
      wait_queue.RemoveExpired(m_now);
      ServeNext();
    }
  }

  WaitQueue wait_queue;
  std::deque<std::pair<TimePoint, uint32_t>> retries;
  int on_time = 0;
  int late = 0;

 private:
  TimePoint m_now = kStart;
  uint64_t m_last_ticket = 0;
  std::map<WaitTicket, bool> m_is_late;
};

// Guards against spending slots on requests that are already late while new requests, which could meet their target,
// are delayed or refused.
TEST_CASE("Under sustained overload slots go to requests that can meet their latency target") {
  Overload overload;
  overload.Run(seconds(20));
  CHECK(overload.on_time + overload.late > 1900);
  CHECK(overload.late < overload.on_time / 20);

  SECTION("late retries are served once the overload is over") {
    const int before = overload.late;
    for (int i = 0; i < 20; ++i) overload.Arrive(1, true);
    overload.wait_queue.RemoveExpired(kStart + seconds(20));
    for (int i = 0; i < 40; ++i) overload.ServeNext();
    CHECK(overload.late > before);
  }
}

}  // namespace
}  // namespace plantain

#include "wait_room.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace plantain {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against an overload in which the order of service starves a priority or keeps callers waiting in vain.
TEST_CASE("Waiting requests are served by urgency without starving anyone") {
  WaitRoom room;
  const auto add = [&](uint64_t ticket, uint32_t priority, bool is_late = false) {
    room.Add({WaitTicket(ticket), priority, is_late, kStart + seconds(1)});
  };

  SECTION("those that can be in time first, then urgent ones, then by arrival") {
    add(1, 0, true);
    add(2, 1);
    add(3, 0);
    add(4, 1);
    add(5, 1, true);
    CHECK(room.GetNext(5) ==
          std::vector<WaitTicket>{WaitTicket(3), WaitTicket(2), WaitTicket(4), WaitTicket(1), WaitTicket(5)});
  }
  SECTION("under a steady stream of urgent ones the longest waiting gets every fourth place") {
    add(1, 5);
    uint64_t next = 2;
    int picks = 0;
    while (room.GetSize() > 0 && picks < 10) {
      add(next++, 0);
      const WaitTicket picked = room.GetNext(1).front();
      room.Remove(picked);
      room.OnTurn(false, kStart);
      ++picks;
      if (picked == WaitTicket(1)) break;
    }
    CHECK(picks == 4);
  }
  SECTION("a request whose turn would come too late is told so at its arrival") {
    for (int i = 0; i < 10; ++i) room.OnTurn(false, kStart);
    for (uint64_t i = 1; i <= 4; ++i) add(i, 1);
    const WaitEntry patient{WaitTicket(9), 1, false, kStart + seconds(1)};
    const WaitEntry hurried{WaitTicket(9), 1, false, kStart + Milliseconds(100)};
    CHECK(room.CanExpectTurn(patient, kStart));
    CHECK_FALSE(room.CanExpectTurn(hurried, kStart));
  }
  SECTION("late ones wait only for what those in time leave over") {
    for (int i = 0; i < 10; ++i) room.OnTurn(false, kStart);
    add(1, 1, true);
    const WaitEntry late{WaitTicket(9), 1, true, kStart + seconds(1)};
    CHECK_FALSE(room.CanExpectTurn(late, kStart));
    for (int i = 0; i < 5; ++i) room.OnTurn(true, kStart);
    CHECK(room.CanExpectTurn(late, kStart));
  }
  SECTION("waits end") {
    add(1, 1);
    CHECK(room.TakeExpired(kStart).empty());
    CHECK(room.TakeExpired(kStart + seconds(1)) == std::vector<WaitTicket>{WaitTicket(1)});
    CHECK(room.GetSize() == 0);
  }
}

// The load of an hour in which endpoints can begin two thirds of what is offered, and each caller that was refused
// comes back once, too late for its goal.
struct Overload {
  static constexpr Duration kStep = Milliseconds(10);
  static constexpr Duration kOnTimeWait = Milliseconds(180);
  static constexpr Duration kLateWait = Milliseconds(800);

  void Arrive(uint32_t priority, bool is_late) {
    ++m_last;
    const WaitEntry entry{WaitTicket(m_last), priority, is_late, m_now + (is_late ? kLateWait : kOnTimeWait)};
    if (room.CanExpectTurn(entry, m_now)) {
      room.Add(entry);
      m_is_late[WaitTicket(m_last)] = is_late;
    } else if (!is_late) {
      returning.push_back({m_now + std::chrono::seconds(1), priority});
    }
  }

  void Begin() {
    const std::vector<WaitTicket> next = room.GetNext(1);
    if (next.empty()) return;
    const bool is_late = m_is_late[next.front()];
    room.Remove(next.front());
    room.OnTurn(is_late, m_now);
    ++(is_late ? late : on_time);
  }

  // 150 arrivals a second, of which 100 can begin.
  void Run(Duration length) {
    int step = 0;
    for (const TimePoint end = m_now + length; m_now < end; m_now += kStep, ++step) {
      Arrive(step % 2, false);
      if (step % 2 == 0) Arrive(1, false);
      while (!returning.empty() && returning.front().first <= m_now) {
        Arrive(returning.front().second, true);
        returning.pop_front();
      }
      room.TakeExpired(m_now);
      Begin();
    }
  }

  WaitRoom room;
  std::deque<std::pair<TimePoint, uint32_t>> returning;
  int on_time = 0;
  int late = 0;

 private:
  TimePoint m_now = kStart;
  uint64_t m_last = 0;
  std::map<WaitTicket, bool> m_is_late;
};

// Guards against places that go to answers which are late anyway while newcomers, who could be in time, wait or leave.
TEST_CASE("Under lasting overload places go to those whose answers can be in time") {
  Overload overload;
  overload.Run(seconds(20));
  CHECK(overload.on_time + overload.late > 1900);
  CHECK(overload.late < overload.on_time / 20);

  SECTION("those that came back are served once the overload is over") {
    const int before = overload.late;
    for (int i = 0; i < 20; ++i) overload.Arrive(1, true);
    overload.room.TakeExpired(kStart + seconds(20));
    for (int i = 0; i < 40; ++i) overload.Begin();
    CHECK(overload.late > before);
  }
}

}  // namespace
}  // namespace plantain

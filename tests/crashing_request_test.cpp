#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "beacon_table.h"
#include "content_key.h"
#include "content_parts.h"
#include "crash_quarantine.h"
#include "failure_type.h"
#include "forward_fake.h"
#include "random.h"

namespace plantain {
namespace {

ContentKey MakeKey(const std::string& id) { return {ContentKind::kRequest, id}; }

HttpRequest MakeHttp(const std::string& method, const std::string& target, const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  return request;
}

// Guards against a caller that makes a request which is taken for another caller's.
TEST_CASE("The key of a request depends on all that identifies it") {
  const WorkspaceName workspace("w1");
  const ContentKey key = MakeRequestKey(workspace, "h.example", MakeHttp("GET", "/a/b?c=d", "body"));
  CHECK(key.kind == ContentKind::kRequest);
  CHECK(key == MakeRequestKey(workspace, "h.example", MakeHttp("GET", "/a/b?c=d", "body")));
  CHECK(key != MakeRequestKey(WorkspaceName("w2"), "h.example", MakeHttp("GET", "/a/b?c=d", "body")));
  CHECK(key != MakeRequestKey(workspace, "i.example", MakeHttp("GET", "/a/b?c=d", "body")));
  CHECK(key != MakeRequestKey(workspace, "h.example", MakeHttp("POST", "/a/b?c=d", "body")));
  CHECK(key != MakeRequestKey(workspace, "h.example", MakeHttp("GET", "/a/b?c=e", "body")));
  CHECK(key != MakeRequestKey(workspace, "h.example", MakeHttp("GET", "/a/b?c=d", "bodz")));

  SECTION("fields cannot be shifted into each other") {
    const auto first = MakeRequestKey(WorkspaceName("w"), "h", MakeHttp("GET", "/a", ""));
    CHECK(first != MakeRequestKey(WorkspaceName("w3:GET"), "h", MakeHttp("", "/a", "")));
    CHECK(first != MakeRequestKey(WorkspaceName(""), "h", MakeHttp("wGET", "/a", "")));
    CHECK(first != MakeRequestKey(WorkspaceName("w"), "h/a", MakeHttp("GET", "", "")));
  }
}

struct RequestFixture {
  // Sends a request after some time and ends the endpoint that runs it.
  void Crash(const std::string& id, CrashQuarantine& quarantine) {
    clock.Advance(Milliseconds(100));
    const TimePoint sent_at = clock.GetNow();
    clock.Advance(Milliseconds(60));
    quarantine.OnCrash({MakeKey(id)}, EndpointRun(++run), sent_at, AnswerProgress::kNone);
  }
  bool IsBlocked(const std::string& id) const { return here.IsBlocked({MakeKey(id)}); }

  VirtualClock clock;
  CrashQuarantine here{clock};
  CrashQuarantine peer{clock};
  uint64_t run = 0;
};

// Guards against one request that ends one endpoint after the other: the BUDGET incident of requests without a prompt.
TEST_CASE("A request at which three endpoints have ended is blocked") {
  RequestFixture fixture;
  fixture.Crash("bad", fixture.here);
  CHECK_FALSE(fixture.here.IsSuspect({MakeKey("bad")}));
  fixture.Crash("bad", fixture.peer);
  fixture.here.ApplyReports(kPeer, fixture.peer.GetReports());
  CHECK(fixture.here.IsSuspect({MakeKey("bad")}));
  CHECK_FALSE(fixture.IsBlocked("bad"));
  fixture.Crash("bad", fixture.here);
  CHECK(fixture.IsBlocked("bad"));
  CHECK_FALSE(fixture.IsBlocked("other"));

  SECTION("entries learn of it from one report, over the wire") {
    BeaconInfo beacon;
    beacon.vm = VmId("10.0.0.2");
    beacon.content_reports = fixture.here.GetReports();
    const auto decoded = DecodeBeacon(EncodeBeacon(beacon));
    REQUIRE(decoded.has_value());
    CrashQuarantine joined(fixture.clock);
    joined.ApplyReports(kPeer, decoded->content_reports);
    CHECK(joined.IsBlocked({MakeKey("bad")}));
    CHECK_FALSE(joined.IsBlocked({{ContentKind::kPromptPart, "bad"}}));
  }
  SECTION("an answer ends the block") {
    fixture.clock.Advance(Milliseconds(1));
    fixture.here.OnAnswered({MakeKey("bad")});
    CHECK_FALSE(fixture.IsBlocked("bad"));
  }
  SECTION("trials are few") {
    fixture.here.SetTrialOwner(true);
    int trials = 0;
    for (int minute = 0; minute < 24 * 60; ++minute) {
      fixture.clock.Advance(std::chrono::minutes(1));
      if (fixture.here.Admit({MakeKey("bad")}) != ContentAdmission::kTrial) continue;
      ++trials;
      fixture.Crash("bad", fixture.here);
    }
    CHECK(trials == 3);
  }
}

// Guards against blocking a sound request for ends that others caused, or that were none.
TEST_CASE("Ends with another cause are no evidence against a request") {
  RequestFixture fixture;

  SECTION("endpoints that end together had all been sent their requests before") {
    const TimePoint sent_at = fixture.clock.GetNow();
    for (uint64_t run = 1; run <= 8; ++run) {
      fixture.clock.Advance(Milliseconds(20));
      fixture.here.OnCrash({MakeKey("popular")}, EndpointRun(run), sent_at, AnswerProgress::kNone);
    }
    CHECK_FALSE(fixture.IsBlocked("popular"));
  }
  SECTION("a popular request is answered between the ends") {
    for (int i = 0; i < 10; ++i) {
      fixture.Crash("popular", fixture.here);
      fixture.clock.Advance(Milliseconds(5));
      fixture.here.OnAnswered({MakeKey("popular")});
    }
    CHECK_FALSE(fixture.IsBlocked("popular"));
    CHECK_FALSE(fixture.here.IsSuspect({MakeKey("popular")}));
  }
  SECTION("a request that was at the endpoints of a blocked one") {
    for (int i = 0; i < 2; ++i) {
      fixture.Crash("bad", fixture.here);
      fixture.here.OnCrash({MakeKey("sound")}, EndpointRun(fixture.run), fixture.clock.GetNow(), AnswerProgress::kNone);
    }
    CHECK(fixture.here.IsSuspect({MakeKey("sound")}));
    fixture.Crash("bad", fixture.here);
    REQUIRE(fixture.IsBlocked("bad"));
    CHECK_FALSE(fixture.here.IsSuspect({MakeKey("sound")}));
    fixture.here.OnCrash({MakeKey("sound")}, EndpointRun(fixture.run), fixture.clock.GetNow(), AnswerProgress::kNone);
    CHECK_FALSE(fixture.here.IsSuspect({MakeKey("sound")}));
    SECTION("also at an entry that hears of the block and of the ends from others") {
      fixture.peer.OnCrash({MakeKey("sound")}, EndpointRun(1), fixture.clock.GetNow(), AnswerProgress::kNone);
      fixture.peer.OnCrash({MakeKey("sound")}, EndpointRun(2), fixture.clock.GetNow(), AnswerProgress::kNone);
      REQUIRE(fixture.peer.IsSuspect({MakeKey("sound")}));
      fixture.peer.ApplyReports(kPeer, fixture.here.GetReports());
      CHECK_FALSE(fixture.peer.IsSuspect({MakeKey("sound")}));
    }
  }
  SECTION("connections that were reset while the endpoints run on") {
    for (int i = 0; i < 2; ++i) fixture.Crash("sound", fixture.here);
    REQUIRE(fixture.here.IsSuspect({MakeKey("sound")}));
    const auto old_reports = fixture.here.GetReports();
    fixture.clock.Advance(Milliseconds(1));
    fixture.here.OnRunAnswered(EndpointRun(1), fixture.clock.GetNow());
    CHECK_FALSE(fixture.here.IsSuspect({MakeKey("sound")}));
    fixture.here.ApplyReports(kPeer, old_reports);
    CHECK_FALSE(fixture.here.IsSuspect({MakeKey("sound")}));
  }
  SECTION("an answer that was on its way when the endpoint ended proves nothing about its end") {
    const TimePoint sent_at = fixture.clock.GetNow();
    for (int i = 0; i < 3; ++i) fixture.Crash("bad", fixture.here);
    fixture.here.OnRunAnswered(EndpointRun(1), sent_at);
    CHECK(fixture.IsBlocked("bad"));
  }
  SECTION("many requests that were in one end each do not displace the evidence against one") {
    for (int i = 0; i < 2; ++i) fixture.Crash("bad", fixture.here);
    for (int i = 0; i < 500; ++i)
      fixture.here.OnCrash({MakeKey(std::to_string(i))}, EndpointRun(77), TimePoint(), AnswerProgress::kNone);
    CHECK(fixture.here.GetReports().front().key == MakeKey("bad"));
    fixture.Crash("bad", fixture.here);
    CHECK(fixture.IsBlocked("bad"));
  }
}

// Requests without a prompt at three endpoints, over entries that exchange reports. Each entry repeats a request once,
// and each caller once more at another entry.
class RequestSimulation {
 public:
  RequestSimulation(size_t entries, uint64_t seed) : m_random(seed), m_endpoints(3) {
    for (size_t i = 0; i < entries; ++i) m_entries.push_back(std::make_unique<CrashQuarantine>(m_clock));
  }

  void Run(Duration time, const std::vector<std::string>& bad, double bad_per_s) {
    const TimePoint end = m_clock.GetNow() + time;
    while (m_clock.GetNow() < end) {
      m_clock.Advance(kStep);
      if (IsDue(kSoundPerS)) Send(MakeSound(), 0, 2);
      for (const std::string& id : bad) {
        if (IsDue(bad_per_s)) Send(id, 0, 2);
      }
      m_has_news =
          std::any_of(m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry->TakeHasNews(); }) ||
          m_has_news;
      ++m_steps;
      if (m_steps % kReportSteps == 0 || (m_has_news && m_steps % kNewsSteps == 0)) ExchangeReports();
      for (Endpoint& endpoint : m_endpoints) Advance(endpoint);
      while (!m_calls.empty() && m_calls.front().first <= m_clock.GetNow()) {
        const Attempt failed = m_calls.front().second;
        m_calls.pop_front();
        Send(failed.id, failed.entry, failed.calls_left);
      }
    }
  }
  void Crash(size_t index) { End(m_endpoints.at(index)); }
  void Restart(size_t entry) {
    m_entries.at(entry) = std::make_unique<CrashQuarantine>(m_clock);
    ExchangeReports();
  }
  void Join() {
    m_entries.push_back(std::make_unique<CrashQuarantine>(m_clock));
    ExchangeReports();
  }

  VirtualClock m_clock;
  std::map<std::string, size_t> m_ends;
  std::map<std::string, size_t> m_late;
  size_t m_sound_blocked = 0;
  size_t m_sound_sent = 0;

 private:
  static constexpr Duration kStep = Milliseconds(1);
  static constexpr int kReportSteps = 100;
  // News are passed on at once; a caller's repeat needs a new connection.
  static constexpr int kNewsSteps = 3;
  static constexpr Duration kCallerDelay = Milliseconds(10);
  static constexpr double kSoundPerS = 40;
  static constexpr Duration kDownTime = std::chrono::seconds(5);
  static constexpr Duration kStableWindow = std::chrono::seconds(3);

  struct Attempt {
    std::string id;
    size_t entry;
    int repeats_left;
    int calls_left;
    TimePoint sent_at;
    TimePoint done_at;
  };
  struct Endpoint {
    uint64_t run = 0;
    TimePoint up_at;
    std::vector<Attempt> running;
  };

  static bool IsBad(const std::string& id) { return id.starts_with("bad"); }
  bool IsDue(double per_s) { return m_random.GetUnit() < per_s * ToSeconds(kStep); }
  std::string MakeSound() {
    return m_random.GetUnit() < 0.1 ? "popular" : "sound-" + std::to_string(m_random.GetBits());
  }
  EndpointRun GetRun(const Endpoint& endpoint) const {
    return EndpointRun(1000 * (endpoint.run + 1) + static_cast<uint64_t>(&endpoint - m_endpoints.data()));
  }

  // A caller's request; a failed one is repeated at another entry.
  void Send(const std::string& id, size_t avoided, int calls_left) {
    if (calls_left == 0) return;
    size_t entry = m_random.GetBelow(m_entries.size());
    if (entry == avoided && calls_left == 1) entry = (entry + 1) % m_entries.size();
    m_sound_sent += IsBad(id) ? 0 : 1;
    Dispatch({id, entry, 1, calls_left - 1, {}, {}});
  }

  void Dispatch(Attempt attempt) {
    CrashQuarantine& quarantine = *m_entries[attempt.entry];
    const std::vector<ContentKey> keys = {MakeKey(attempt.id)};
    if (quarantine.Admit(keys) == ContentAdmission::kBlocked) {
      m_sound_blocked += IsBad(attempt.id) ? 0 : 1;
      return;
    }
    std::vector<Endpoint*> up;
    size_t usable = 0;
    for (Endpoint& endpoint : m_endpoints) {
      if (endpoint.up_at > m_clock.GetNow()) continue;
      up.push_back(&endpoint);
      usable += quarantine.HasEnded(GetRun(endpoint)) ? 0 : 1;
    }
    const bool is_risk = quarantine.IsSuspect(keys) && quarantine.HasRecentEnd(keys);
    if (up.empty() || (is_risk && (usable <= 1 || IsRunning(attempt)))) return;
    Endpoint& chosen = *up[m_random.GetBelow(up.size())];
    const int64_t run_ms = IsBad(attempt.id) ? 60 + static_cast<int64_t>(m_random.GetBelow(60))
                                             : 7 + static_cast<int64_t>(m_random.GetBelow(30));
    attempt.sent_at = m_clock.GetNow();
    attempt.done_at = attempt.sent_at + Milliseconds(run_ms);
    const auto third = m_third_end.find(attempt.id);
    if (third != m_third_end.end() && attempt.sent_at > third->second + kStableWindow) ++m_late[attempt.id];
    chosen.running.push_back(attempt);
  }

  // Whether the entry has sent an equal request that has not ended.
  bool IsRunning(const Attempt& attempt) const {
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const Endpoint& endpoint) {
      return std::any_of(endpoint.running.begin(), endpoint.running.end(), [&](const Attempt& running) {
        return running.entry == attempt.entry && running.id == attempt.id;
      });
    });
  }

  void Advance(Endpoint& endpoint) {
    for (size_t i = 0; i < endpoint.running.size(); ++i) {
      if (endpoint.running[i].done_at > m_clock.GetNow()) continue;
      const Attempt attempt = endpoint.running[i];
      if (IsBad(attempt.id)) {
        if (++m_ends[attempt.id] == 3) m_third_end[attempt.id] = m_clock.GetNow();
        End(endpoint);
        return;
      }
      CrashQuarantine& quarantine = *m_entries[attempt.entry];
      quarantine.OnRunAnswered(GetRun(endpoint), attempt.sent_at);
      quarantine.OnAnswered({MakeKey(attempt.id)});
      endpoint.running.erase(endpoint.running.begin() + static_cast<std::ptrdiff_t>(i--));
    }
  }

  void End(Endpoint& endpoint) {
    const EndpointRun run = GetRun(endpoint);
    const std::vector<Attempt> broken = std::exchange(endpoint.running, {});
    ++endpoint.run;
    endpoint.up_at = m_clock.GetNow() + kDownTime;
    for (const Attempt& attempt : broken) {
      m_entries[attempt.entry]->OnCrash({MakeKey(attempt.id)}, run, attempt.sent_at, AnswerProgress::kNone);
    }
    for (Attempt attempt : broken) {
      if (attempt.repeats_left-- > 0 && !m_entries[attempt.entry]->IsSuspect({MakeKey(attempt.id)})) {
        Dispatch(attempt);
      } else {
        m_calls.push_back({m_clock.GetNow() + kCallerDelay, attempt});
      }
    }
  }

  // Each entry hears each other one, but for lost messages.
  void ExchangeReports() {
    m_has_news = false;
    for (const auto& from : m_entries) {
      const auto reports = from->GetReports();
      for (const auto& to : m_entries) {
        if (to != from && m_random.GetUnit() > 0.2) to->ApplyReports(kPeer, reports);
      }
    }
  }

  SeededRandom m_random;
  std::vector<std::unique_ptr<CrashQuarantine>> m_entries;
  std::vector<Endpoint> m_endpoints;
  // Failed requests whose callers repeat them, by time.
  std::deque<std::pair<TimePoint, Attempt>> m_calls;
  std::map<std::string, TimePoint> m_third_end;
  int m_steps = 0;
  bool m_has_news = false;
};

// Guards against a bound that holds at each entry and not over all of them, with one bad request and with several.
TEST_CASE("Over any number of entries, a crashing request ends few endpoints") {
  for (const size_t entries : {1, 4, 16}) {
    for (uint64_t seed = 1; seed <= 30; ++seed) {
      INFO("entries " << entries << " seed " << seed);
      RequestSimulation fleet(entries, seed);
      const std::vector<std::string> bad =
          seed % 3 == 0 ? std::vector<std::string>{"bad-1", "bad-2", "bad-3"} : std::vector<std::string>{"bad-1"};
      fleet.Run(std::chrono::seconds(2), {}, 0);
      fleet.Run(std::chrono::seconds(15), bad, 2);
      // An entry that is alone has nobody to learn from after a restart.
      if (entries > 1) fleet.Restart(0);
      fleet.Join();
      fleet.Run(std::chrono::seconds(25), bad, 2);
      size_t ends = 0;
      for (const std::string& id : bad) {
        ends += fleet.m_ends[id];
        CHECK(fleet.m_late[id] <= 3);
      }
      CHECK(ends >= 3);
      CHECK(ends <= 4 * bad.size());
      CHECK(fleet.m_sound_blocked == 0);
    }
  }
}

// Guards against blocking sound requests on a day on which endpoints fail for other reasons.
TEST_CASE("Endpoints that fail for other reasons block no request") {
  const auto play = [](const std::function<void(RequestSimulation&, SeededRandom&)>& disturb) {
    size_t blocked = 0;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
      RequestSimulation fleet(4, seed);
      SeededRandom random(seed);
      fleet.Run(std::chrono::seconds(1), {}, 0);
      disturb(fleet, random);
      blocked += fleet.m_sound_blocked;
      CHECK(fleet.m_sound_sent > 100);
    }
    CHECK(blocked == 0);
  };
  SECTION("at random") {
    play([](RequestSimulation& fleet, SeededRandom& random) {
      for (int i = 0; i < 20; ++i) {
        fleet.Crash(random.GetBelow(3));
        fleet.Run(Milliseconds(static_cast<int64_t>(random.GetBelow(2000))), {}, 0);
      }
    });
  }
  SECTION("one after the other, as in a restart of the service") {
    play([](RequestSimulation& fleet, SeededRandom& random) {
      for (size_t i = 0; i < 18; ++i) {
        fleet.Crash(i % 3);
        fleet.Run(Milliseconds(50 + static_cast<int64_t>(random.GetBelow(300))), {}, 0);
        if (i % 3 == 2) fleet.Run(std::chrono::seconds(5), {}, 0);
      }
    });
  }
  SECTION("all at once, as in a power failure") {
    play([](RequestSimulation& fleet, SeededRandom&) {
      for (int i = 0; i < 4; ++i) {
        for (size_t endpoint = 0; endpoint < 3; ++endpoint) fleet.Crash(endpoint);
        fleet.Run(std::chrono::seconds(6), {}, 0);
      }
    });
  }
}

struct LookFixture : ForwardFixture {
  LookFixture() : ForwardFixture(MakeRegisters({0, 0, 0})) {}

  static std::vector<EndpointInfo> MakeRegisters(const std::vector<int>& generations) {
    std::vector<EndpointInfo> registers;
    for (size_t i = 0; i < generations.size(); ++i) {
      registers.push_back(
          MakeEndpoint("r" + std::to_string(i) + "-" + std::to_string(generations[i]), kRegisterPool, "praha", 6));
    }
    return registers;
  }

  // Ends the endpoint of the last attempt.
  std::string CrashLast() {
    AdvanceTime(Milliseconds(60));
    FakeAttemptSender::Sent& sent = sender.At(sender.GetCount() - 1);
    const std::string endpoint = sent.GetEndpoint();
    sent.FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    return endpoint;
  }
  void RestartAll() {
    for (int& generation : generations) ++generation;
    traffic->SetFleet(MakeFleet(MakeRegisters(generations)));
    AdvanceTime(std::chrono::seconds(5));
  }

  std::vector<int> generations = {0, 0, 0};
};

// Guards against a service that is away again and again, because one lookup ends all of its endpoints.
TEST_CASE("A lookup at which endpoints end is not sent to the last one, and not any more after the third end") {
  LookFixture fixture;
  const auto first = fixture.SendRequest("/look/bad", "1000");
  std::set<std::string> ended = {fixture.CrashLast()};
  REQUIRE(fixture.sender.GetCount() == 2);
  ended.insert(fixture.CrashLast());
  CHECK(ended.size() == 2);
  CHECK(fixture.sender.GetCount() == 2);
  CHECK(first->status == 502);

  SECTION("the last endpoint is kept for other requests") {
    const auto again = fixture.SendRequest("/look/bad", "1000");
    CHECK(fixture.sender.GetCount() == 2);
    CHECK(again->status == 503);
    CHECK_FALSE(again->headers.Find("Retry-After").empty());
    fixture.SendRequest("/look/sound", "1000");
    fixture.SendRequest("/look/sound", "1000");
    CHECK(fixture.sender.GetCount() >= 3);
  }
  SECTION("the third end blocks it for good") {
    fixture.RestartAll();
    const auto again = fixture.SendRequest("/look/bad", "1000");
    REQUIRE(fixture.sender.GetCount() == 3);
    fixture.CrashLast();
    CHECK(fixture.sender.GetCount() == 3);
    CHECK(again->status == 502);
    fixture.RestartAll();
    const auto blocked = fixture.SendRequest("/look/bad", "1000");
    CHECK(fixture.sender.GetCount() == 3);
    CHECK(blocked->status == 503);
    CHECK(blocked->body.find("blocked_content") != std::string::npos);
    CHECK(blocked->headers.Find("Retry-After").empty());
    fixture.SendRequest("/look/bad?page=2", "1000");
    CHECK(fixture.sender.GetCount() == 4);
  }
  SECTION("an error of the endpoint is an answer") {
    fixture.RestartAll();
    fixture.SendRequest("/look/bad", "1000");
    fixture.sender.At(fixture.sender.GetCount() - 1).SendResponse(500, "error");
    const size_t sent = fixture.sender.GetCount();
    CHECK(sent == 4);
    fixture.sender.At(sent - 1).FinishResponse(MakeFailure(FailureCode::kConnectionLost, "reset"));
    fixture.RestartAll();
    fixture.SendRequest("/look/bad", "1000");
    CHECK(fixture.sender.GetCount() == sent + 1);
  }
}

// Guards against evidence from an endpoint that stops as it had announced.
TEST_CASE("An endpoint that had said that it leaves is no evidence against its requests") {
  LookFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.SendRequest("/look/a", "1000");
    auto registers = LookFixture::MakeRegisters(fixture.generations);
    const std::string endpoint = fixture.sender.At(fixture.sender.GetCount() - 1).GetEndpoint();
    for (EndpointInfo& info : registers) info.is_leaving = info.id == EndpointId(endpoint);
    fixture.traffic->SetFleet(MakeFleet(registers));
    fixture.CrashLast();
    // The repeat is answered by nobody until its caller gives up.
    fixture.AdvanceTime(std::chrono::seconds(2));
    fixture.RestartAll();
  }
  const size_t sent = fixture.sender.GetCount();
  fixture.SendRequest("/look/a", "1000");
  CHECK(fixture.sender.GetCount() == sent + 1);
}

}  // namespace
}  // namespace plantain

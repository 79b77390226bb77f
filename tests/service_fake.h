// Fakes for tests of calls to plain services: a log in memory and a fixed configuration with one service.

#ifndef PLANTAIN_TESTS_SERVICE_FAKE_H_
#define PLANTAIN_TESTS_SERVICE_FAKE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "attempt_runner.h"
#include "http_server.h"
#include "log_store.h"
#include "loop.h"
#include "unlimited_caller_memory.h"

namespace plantain {

inline const ServiceName kRegisterService("register");

// A log that keeps one stream in memory.
class MemoryLog {
 public:
  MemoryLog(Loop& loop, const HttpTarget& target)
      : m_store(m_clock, Duration::zero()),
        m_server(loop, MakeUnlimitedCallerMemory(), target.address, target.port, 64 * 1024,
                 [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                   responder->Send(Handle(request));
                 }) {
    REQUIRE(m_server.Start().ok());
  }

 private:
  HttpResponse Handle(const HttpRequest& request) {
    if (request.method == "POST") {
      return MakeJsonResponse(200, R"({"offset":)" + std::to_string(m_store.Append(request.body)) + "}");
    }
    uint64_t next = 0;
    const uint64_t from = std::stoull(std::string(GetQueryValue(request.target, "from")));
    HttpResponse response;
    response.body = m_store.Read(from, 100, m_store.GetNextOffset(), next);
    response.headers.Add("X-First-Offset", "0");
    response.headers.Add("X-Next-Offset", std::to_string(m_store.GetNextOffset()));
    return response;
  }

  SystemClock m_clock;
  standin::LogStore m_store;
  HttpServer m_server;
};

// A configuration with one zone in service and one service.
class FixedConfig : public ConfigSource {
 public:
  FixedConfig() {
    const auto view = std::make_shared<ConfigView>();
    view->document.zones.push_back({ZoneName("praha"), RegionName("cechy"), true});
    view->document.services.push_back({kRegisterService, PoolName("register"), {{"look", true}}});
    m_view = view;
  }
  std::shared_ptr<const ConfigView> GetConfig() const override { return m_view; }
  void AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)>) override {}
  bool IsLogReachable() const override { return true; }

 private:
  std::shared_ptr<const ConfigView> m_view;
};

// Runs the loop until it is stopped, or for a few seconds.
inline void RunUntilStopped(Loop& loop) {
  const auto watchdog = loop.RunAfter(std::chrono::seconds(3), [&] { loop.Stop(); });
  loop.Run();
  loop.Restart();
}

}  // namespace plantain

#endif  // PLANTAIN_TESTS_SERVICE_FAKE_H_

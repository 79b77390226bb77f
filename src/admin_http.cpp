#include "admin_http.h"

#include <nlohmann/json.hpp>

namespace plantain {
namespace {

constexpr size_t kMaxAdminBodyBytes = 64 * 1024;

}  // namespace

AdminHttp::AdminHttp(Loop& loop, std::shared_ptr<CallerMemory> memory, IpAddress address, Port port,
                     const AdminSource& source, const Metrics& metrics, const RequestHistory& history)
    : m_source(source), m_metrics(metrics), m_history(history) {
  m_server =
      std::make_unique<HttpServer>(loop, std::move(memory), std::move(address), port, kMaxAdminBodyBytes,
                                   [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                                     responder->Send(Answer(request));
                                   });
}

absl::Status AdminHttp::Start() { return m_server->Start(); }

void AdminHttp::Stop() { m_server->StopAccepting(); }

HttpResponse AdminHttp::Answer(const HttpRequest& request) const {
  const std::string_view path = GetPath(request.target);
  if (path == "/healthz") return MakeTextResponse(200, "ok\n");
  if (path == "/readyz") return AnswerReady();
  if (path == "/metrics") return MakeTextResponse(200, m_metrics.GetText());
  if (path == "/status") return MakeJsonResponse(200, m_source.GetStatusJson());
  if (path == "/events") return AnswerEvents(request);
  return MakeJsonResponse(404, R"({"error":{"type":"not_found"}})");
}

HttpResponse AdminHttp::AnswerReady() const {
  const Readiness readiness = m_source.GetReadiness();
  return MakeTextResponse(readiness.is_ready ? 200 : 503, readiness.reason + "\n");
}

HttpResponse AdminHttp::AnswerEvents(const HttpRequest& request) const {
  const std::string id = GetQueryValue(request.target, "request");
  if (id.empty()) return MakeJsonResponse(400, R"({"error":{"type":"usage","expected":"?request=ID"}})");
  return MakeJsonResponse(200, nlohmann::json{{"request", id}, {"events", m_history.GetEvents(id)}}.dump());
}

}  // namespace plantain

// HTTP server for administration of a process: health, readiness, metrics, status and recent events.

#ifndef PLANTAIN_ADMIN_HTTP_H_
#define PLANTAIN_ADMIN_HTTP_H_

#include <functional>
#include <memory>
#include <string>

#include "event_log.h"
#include "http_server.h"
#include "kernel.h"
#include "metrics.h"

namespace plantain {

// Whether a process accepts work, and the reason if not.
struct Readiness {
  bool is_ready = false;
  std::string reason;
};

// Called on the control thread for each request.
class AdminSource {
 public:
  virtual ~AdminSource() = default;
  virtual Readiness GetReadiness() const = 0;
  // Returns the process's state as a JSON object.
  virtual std::string GetStatusJson() const = 0;
};

// Serves `/healthz`, `/readyz`, `/metrics`, `/status` and `/events?request=ID` on the control loop.
class AdminHttp : public Service {
 public:
  AdminHttp(Loop& loop, std::shared_ptr<CallerMemory> memory, IpAddress address, Port port, const AdminSource& source,
            const Metrics& metrics, const RequestHistory& history);

  absl::Status Start() override;
  void Stop() override;

 private:
  HttpResponse Answer(const HttpRequest& request) const;
  HttpResponse AnswerReady() const;
  HttpResponse AnswerEvents(const HttpRequest& request) const;

  const AdminSource& m_source;
  const Metrics& m_metrics;
  const RequestHistory& m_history;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace plantain

#endif  // PLANTAIN_ADMIN_HTTP_H_

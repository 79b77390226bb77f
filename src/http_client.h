// HTTP/1.1 client on one loop with a pool of kept connections, built on Boost.Beast.

#ifndef PLANTAIN_HTTP_CLIENT_H_
#define PLANTAIN_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "http_type.h"
#include "loop.h"
#include "memory_budget.h"

namespace plantain {

// What a client call reports, on the loop's thread. Exactly one on_done comes, last, unless the call is cancelled.
struct HttpCallbacks {
  std::function<void(int status, const HttpHeaders& headers)> on_head;
  std::function<void(std::string_view data)> on_data;
  // kConnectFailed: the request was not sent. Any other failure: the server may have acted on it.
  std::function<void(absl::Status status)> on_done;
};

// A call in progress. Destroying it does not cancel it.
class HttpCall {
 public:
  virtual ~HttpCall() = default;

  // Closes the connection; no callback follows.
  virtual void Cancel() = 0;

  // Whether bytes of the request may have reached the server.
  virtual bool IsSent() const = 0;

  // Whether the connection carried other requests before, whose answers may still be on their way.
  virtual bool IsOnKeptConnection() const = 0;
};

// Limits of one call.
struct HttpCallOptions {
  // There is no usual limit of a body: what an answer may need differs from call to call.
  explicit HttpCallOptions(size_t max_body_bytes_in) : max_body_bytes(max_body_bytes_in) {}

  // Time for the whole call.
  Duration timeout = std::chrono::seconds(10);
  // Time for a new connection; 0 for the time of the whole call.
  Duration connect_timeout{};
  // Longest idle time of a kept connection that may be used; 0 for a new connection.
  Duration max_idle = std::chrono::hours(1);
  // Whether the connection is kept for later calls.
  bool is_kept = true;
  // Longest body. A longer one ends the call with kProtocol and closes the connection.
  size_t max_body_bytes;
};

// Sends requests. Used on the loop's thread only.
class HttpClient {
 public:
  // `answer_memory` bounds what the answers to Fetch hold together.
  HttpClient(Loop& loop, MemoryBudget& answer_memory);
  ~HttpClient();

  // Sends a request and reports the answer piece by piece.
  std::shared_ptr<HttpCall> Send(const HttpTarget& target, const HttpRequest& request, HttpCallOptions options,
                                 HttpCallbacks callbacks);

  // Sends a request and reports the whole answer. Fails with kMemoryLimit if there is no memory for it.
  std::shared_ptr<HttpCall> Fetch(const HttpTarget& target, const HttpRequest& request, HttpCallOptions options,
                                  std::function<void(absl::StatusOr<HttpResponse>)> on_done);

  // Drops kept connections to one server, for example after it restarted.
  void ForgetConnections(const HttpTarget& target);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace plantain

#endif  // PLANTAIN_HTTP_CLIENT_H_

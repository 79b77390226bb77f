// HTTP/1.1 server on one loop, built on Boost.Beast.

#ifndef PLANTAIN_HTTP_SERVER_H_
#define PLANTAIN_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "caller_memory.h"
#include "http_type.h"
#include "loop.h"

namespace plantain {

// Answers one request. Used on the server's loop only. Either Send once, or StartStream, any number of SendChunk and
// EndStream. Calls after the caller has gone away do nothing.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Sends a whole response.
  virtual void Send(HttpResponse response) = 0;

  // Sends status and headers of a chunked response.
  virtual void StartStream(int status, const HttpHeaders& headers) = 0;
  virtual void SendChunk(std::string data) = 0;
  virtual void EndStream() = 0;

  // Closes the connection at once, which a caller sees as a truncated answer.
  virtual void Abort() = 0;

  // Sets what runs if the caller closes the connection before the answer is complete.
  virtual void SetOnClosed(std::function<void()> callback) = 0;

  // Bytes of the stream that the caller has not taken yet.
  virtual size_t GetUnsentBytes() const = 0;
};

// What a server bears from a connection. A time of 0 means no limit.
struct HttpLimits {
  // Of the head and the trailers of a request together.
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
  // Longest time from the first byte of a request to the end of its header, and as long again for its body.
  Duration header_timeout{};
  // Longest time between an answer and the first byte of the next request. A shorter one holds for a connection from
  // its next answer on.
  Duration idle_timeout{};
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

// Accepts connections on one address. Several servers on different loops may share an address and port
// (SO_REUSEPORT), so that each traffic thread has its own.
class HttpServer {
 public:
  // `memory` counts what the connections hold, and belongs to the same loop.
  HttpServer(Loop& loop, std::shared_ptr<CallerMemory> memory, IpAddress address, Port port, size_t max_body_bytes,
             HttpHandler handler);
  ~HttpServer();

  // Binds and begins to accept.
  absl::Status Start();

  // Sets what new requests may do. A request beyond it is answered with 408, 413 or 431 and its connection closed. One
  // for which there is no memory is answered with 503.
  // Call on the loop's thread, or before Start.
  void SetLimits(const HttpLimits& limits);

  // Accepts the connections that are waiting, then closes the listening socket. Requests that arrive on open
  // connections are still handled, and each connection closes after the next answer that begins. Call on the loop's
  // thread.
  void StopAccepting();

  // From now on each connection closes after the next answer that begins. Goes on accepting. Call on the loop's thread.
  void CloseAfterAnswers();

  // Closes connections on which no byte of a request has arrived. Call it repeatedly, on the loop's thread: a
  // connection without any request so far is closed only if it still has none some time after the first call that found
  // it.
  void CloseIdle(TimePoint now);

  // Number of requests whose answer is not complete.
  size_t GetInFlight() const;

  // Number of open connections, and how many of them hold bytes that have not been read as a request.
  size_t GetConnectionCount() const;
  size_t CountUnread() const;

 private:
  friend class HttpSession;
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace plantain

#endif  // PLANTAIN_HTTP_SERVER_H_

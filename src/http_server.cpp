#include "http_server.h"

#include "loop_asio.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "failure_type.h"
#include "socket_option.h"

namespace plantain {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr int kListenBacklog = 1024;
// Resolution of the time limits on connections.
constexpr Duration kSweepPeriod = Milliseconds(250);
// How long a refused caller may go on sending before its connection is closed. Closing with unread bytes would reset
// the connection and could destroy the answer on its way.
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr size_t kLingerReadBytes = 4096;

// Returns the status for a request that cannot be read, or 0 if the connection has just ended.
int GetFaultStatus(const ErrorCode& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  if (error == http::error::end_of_stream || error == http::error::partial_message) return 0;
  return error.category() == http::make_error_code(http::error::bad_method).category() ? 400 : 0;
}

std::string_view GetFaultType(int status) {
  switch (status) {
    case 408:
      return "too_slow";
    case 413:
      return "body_too_large";
    case 431:
      return "header_too_large";
    default:
      return "malformed_request";
  }
}

}  // namespace

class HttpSession;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(Loop& loop, IpAddress address_in, Port port_in, size_t max_body, HttpHandler handler_in)
      : context(loop.GetImpl().context),
        acceptor(context),
        address(std::move(address_in)),
        port(port_in),
        handler(std::move(handler_in)),
        sweep_timer(context) {
    limits.max_body_bytes = max_body;
  }

  void Accept();
  // Closes connections that are over their time limits, again and again.
  void SweepLater();
  void Sweep();

  asio::io_context& context;
  tcp::acceptor acceptor;
  IpAddress address;
  Port port;
  HttpLimits limits;
  HttpHandler handler;
  asio::steady_timer sweep_timer;
  std::set<HttpSession*> sessions;
  size_t in_flight = 0;
  bool is_stopping = false;
  // Whether connections may stay open after an answer.
  bool is_keeping_alive = true;
};

// One connection. Requests on it are handled one after the other.
class HttpSession : public HttpResponder, public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(tcp::socket socket, std::shared_ptr<HttpServer::Impl> server)
      : m_socket(std::move(socket)), m_server(std::move(server)) {
    m_server->sessions.insert(this);
  }
  ~HttpSession() override {
    FinishRequest();
    m_server->sessions.erase(this);
  }
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Read() {
    m_parser.emplace();
    m_parser->header_limit(static_cast<uint32_t>(m_server->limits.max_header_bytes));
    m_parser->body_limit(m_server->limits.max_body_bytes);
    m_read_since = GetMonotonicTime();
    m_has_begun = false;
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](const ErrorCode& error, size_t) { self->OnRead(error); });
  }

  // Closes the connection unless a request is in progress or on its way in.
  void CloseIfIdle() {
    if (!m_is_busy && !m_is_lingering && !HasBegunRequest()) Close();
  }

  // Applies the time limits.
  void CheckTime(TimePoint now) {
    if (m_is_closed || m_is_busy) return;
    if (m_is_lingering) {
      if (now - m_read_since >= kLingerTime) Close();
      return;
    }
    const HttpLimits& limits = m_server->limits;
    if (!HasBegunRequest()) {
      if (limits.idle_timeout > Duration::zero() && now - m_read_since >= limits.idle_timeout) Close();
      return;
    }
    if (!m_has_begun) {
      m_has_begun = true;
      m_read_since = now;
    }
    const Duration allowed = m_parser->is_header_done() ? 2 * limits.header_timeout : limits.header_timeout;
    if (limits.header_timeout > Duration::zero() && now - m_read_since >= allowed) RefuseRequest(408);
  }

  void Send(HttpResponse response) override {
    if (m_is_closed || !m_is_busy) return;
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11, std::move(response.body));
    for (const auto& [name, value] : response.headers.GetFields()) message.insert(name, value);
    message.keep_alive(ShouldKeepAlive());
    message.prepare_payload();
    AppendMessage(message);
    m_is_last = true;
    Flush();
  }

  void StartStream(int status, const HttpHeaders& headers) override {
    if (m_is_closed || !m_is_busy) return;
    http::response<http::empty_body> message(static_cast<http::status>(status), 11);
    for (const auto& [name, value] : headers.GetFields()) message.insert(name, value);
    message.keep_alive(ShouldKeepAlive());
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    serializer.split(true);
    ErrorCode error;
    serializer.next(error, [&](ErrorCode&, const auto& buffers) {
      m_pending += boost::beast::buffers_to_string(buffers);
      serializer.consume(asio::buffer_size(buffers));
    });
    FlushSoon();
  }

  void SendChunk(std::string data) override {
    if (m_is_closed || !m_is_busy || data.empty()) return;
    m_pending += boost::beast::buffers_to_string(http::make_chunk(asio::buffer(data)));
    FlushSoon();
  }

  void EndStream() override {
    if (m_is_closed || !m_is_busy) return;
    m_pending += boost::beast::buffers_to_string(http::make_chunk_last());
    m_is_last = true;
    FlushSoon();
  }

  void Abort() override { Close(); }

  void SetOnClosed(std::function<void()> callback) override { m_on_closed = std::move(callback); }

  size_t GetUnsentBytes() const override { return m_pending.size() + m_writing.size(); }

  // Whether bytes of a request have arrived that has not been handled yet, here or in the socket.
  bool HasUnread() const {
    ErrorCode error;
    return (!m_is_busy && HasBegunRequest()) || m_socket.available(error) > 0;
  }

 private:
  bool ShouldKeepAlive() const { return m_keep_alive && m_server->is_keeping_alive; }

  template <typename Message>
  void AppendMessage(const Message& message) {
    http::response_serializer<http::string_body> serializer(message);
    ErrorCode error;
    while (!serializer.is_done()) {
      serializer.next(error, [&](ErrorCode&, const auto& buffers) {
        m_pending += boost::beast::buffers_to_string(buffers);
        serializer.consume(asio::buffer_size(buffers));
      });
      if (error) return;
    }
  }

  // Whether bytes of a request have arrived that has not been handled yet.
  bool HasBegunRequest() const { return m_parser.has_value() && (m_parser->got_some() || m_buffer.size() > 0); }

  // Answers a request that cannot be read or is not allowed. It has not been handled, and what follows it on the
  // connection is not looked at.
  void RefuseRequest(int status) {
    m_is_refused = true;
    m_is_busy = true;
    ++m_server->in_flight;
    m_keep_alive = false;
    ErrorCode ignored;
    m_socket.cancel(ignored);
    const std::string type(GetFaultType(status));
    Send(MakeJsonResponse(status, R"({"error":{"type":")" + type + R"("}})"));
  }

  // Ends the sending side and drops what still arrives.
  void Linger() {
    m_is_lingering = true;
    m_read_since = GetMonotonicTime();
    ErrorCode ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_linger_bytes.resize(kLingerReadBytes);
    Discard();
  }

  void Discard() {
    m_socket.async_read_some(asio::buffer(m_linger_bytes), [self = shared_from_this()](const ErrorCode& error, size_t) {
      if (self->m_is_closed) return;
      if (error) {
        self->Close();
      } else {
        self->Discard();
      }
    });
  }

  void OnRead(const ErrorCode& error) {
    if (m_is_closed || m_is_refused) return;
    if (error) {
      const int status = GetFaultStatus(error);
      if (status == 0) {
        Close();
      } else {
        RefuseRequest(status);
      }
      return;
    }
    HttpRequest request;
    auto message = m_parser->release();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.Add(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    m_keep_alive = message.keep_alive();
    m_is_busy = true;
    m_is_last = false;
    ++m_server->in_flight;
    WatchForClose();
    m_server->handler(std::move(request), shared_from_this());
  }

  // Notices that the caller went away while its answer is being made.
  void WatchForClose() {
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
      if (error || self->m_is_closed || !self->m_is_busy) return;
      ErrorCode peek_error;
      const size_t available = self->m_socket.available(peek_error);
      if (peek_error || available == 0) self->Close();
    });
  }

  // Writes what has gathered once the callback in progress is over, so that head, first piece and end of an answer
  // that are made in one callback share a system call here and at the receiver.
  void FlushSoon() {
    if (m_is_flush_posted || !m_writing.empty()) return;
    m_is_flush_posted = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
      self->m_is_flush_posted = false;
      if (!self->m_is_closed) self->Flush();
    });
  }

  void Flush() {
    if (!m_writing.empty()) return;
    if (m_pending.empty()) return;
    std::swap(m_writing, m_pending);
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](const ErrorCode& error, size_t) { self->OnWritten(error); });
  }

  void OnWritten(const ErrorCode& error) {
    m_writing.clear();
    if (error) {
      Close();
      return;
    }
    if (!m_pending.empty()) {
      Flush();
      return;
    }
    if (!m_is_last || !m_is_busy) return;
    FinishRequest();
    if (m_is_refused) {
      Linger();
      return;
    }
    if (!ShouldKeepAlive()) {
      Close();
      return;
    }
    ErrorCode ignored;
    m_socket.cancel(ignored);
    Read();
  }

  void FinishRequest() {
    if (!m_is_busy) return;
    m_is_busy = false;
    m_on_closed = nullptr;
    --m_server->in_flight;
  }

  void Close() {
    if (m_is_closed) return;
    m_is_closed = true;
    ErrorCode ignored;
    m_socket.close(ignored);
    const std::function<void()> on_closed = std::move(m_on_closed);
    FinishRequest();
    if (on_closed) on_closed();
  }

  tcp::socket m_socket;
  std::shared_ptr<HttpServer::Impl> m_server;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::string m_pending;
  std::string m_writing;
  std::function<void()> m_on_closed;
  bool m_is_busy = false;
  bool m_is_last = false;
  bool m_is_closed = false;
  bool m_is_flush_posted = false;
  bool m_keep_alive = false;
  // A request on this connection was refused unread; the connection ends after the answer.
  bool m_is_refused = false;
  bool m_is_lingering = false;
  // Since when the session waits for the next request, or, once it has begun, for its end.
  TimePoint m_read_since;
  bool m_has_begun = false;
  std::vector<char> m_linger_bytes;
};

void HttpServer::Impl::SweepLater() {
  sweep_timer.expires_after(kSweepPeriod);
  sweep_timer.async_wait([weak = weak_from_this()](const ErrorCode& error) {
    const auto self = weak.lock();
    if (error || self == nullptr) return;
    self->Sweep();
    self->SweepLater();
  });
}

void HttpServer::Impl::Sweep() {
  const TimePoint now = GetMonotonicTime();
  // A session that closes may leave the set.
  const std::vector<HttpSession*> all(sessions.begin(), sessions.end());
  for (HttpSession* session : all) {
    if (sessions.contains(session)) session->CheckTime(now);
  }
}

void HttpServer::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](const ErrorCode& error, tcp::socket socket) {
    if (self->is_stopping || error == asio::error::operation_aborted) return;
    if (!error) {
      ErrorCode ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      SetDeadPeerTimeout(socket.native_handle());
      std::make_shared<HttpSession>(std::move(socket), self)->Read();
    }
    self->Accept();
  });
}

HttpServer::HttpServer(Loop& loop, IpAddress address, Port port, size_t max_body_bytes, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(loop, std::move(address), port, max_body_bytes, std::move(handler))) {}

HttpServer::~HttpServer() {
  ErrorCode ignored;
  m_impl->acceptor.close(ignored);
  m_impl->sweep_timer.cancel();
  m_impl->is_stopping = true;
}

absl::Status HttpServer::Start() {
  ErrorCode error;
  const auto address = asio::ip::make_address(m_impl->address.Get(), error);
  const std::string name = m_impl->address.Get() + ":" + std::to_string(m_impl->port.Get());
  if (error) return MakeFailure(FailureCode::kSettingInvalid, name + ": expected an IP address");
  const tcp::endpoint endpoint(address, m_impl->port.Get());
  m_impl->acceptor.open(endpoint.protocol(), error);
  if (!error) m_impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) m_impl->acceptor.set_option(ReusePort(true), error);
  if (!error) m_impl->acceptor.bind(endpoint, error);
  if (!error) m_impl->acceptor.listen(kListenBacklog, error);
  if (error) return MakeFailure(FailureCode::kAddressInUse, name + ": " + error.message());
  m_impl->Accept();
  const HttpLimits& limits = m_impl->limits;
  if (limits.header_timeout > Duration::zero() || limits.idle_timeout > Duration::zero()) m_impl->SweepLater();
  return absl::OkStatus();
}

void HttpServer::SetLimits(const HttpLimits& limits) { m_impl->limits = limits; }

void HttpServer::CloseIdle() {
  const std::vector<HttpSession*> all(m_impl->sessions.begin(), m_impl->sessions.end());
  for (HttpSession* session : all) {
    if (m_impl->sessions.contains(session)) session->CloseIfIdle();
  }
}

void HttpServer::CloseAfterAnswers() { m_impl->is_keeping_alive = false; }

void HttpServer::StopAccepting() {
  m_impl->is_stopping = true;
  m_impl->is_keeping_alive = false;
  ErrorCode ignored;
  m_impl->acceptor.close(ignored);
  CloseIdle();
}

size_t HttpServer::GetInFlight() const { return m_impl->in_flight; }

size_t HttpServer::GetConnectionCount() const { return m_impl->sessions.size(); }

size_t HttpServer::CountUnread() const {
  return static_cast<size_t>(std::count_if(m_impl->sessions.begin(), m_impl->sessions.end(),
                                           [](const HttpSession* session) { return session->HasUnread(); }));
}

}  // namespace plantain

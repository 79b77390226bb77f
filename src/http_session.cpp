#include "http_session_asio.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>

#include "clock.h"

namespace plantain {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// How long a caller may go on sending after the last answer before its connection is closed. Closing with unread bytes
// would reset the connection and could destroy the answer on its way.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// How long a new connection is left open for its first request while the server closes idle ones. The caller has just
// connected to send one, and it is on its way.
constexpr Duration kFirstRequestTime = Milliseconds(200);
constexpr size_t kMaxReadBytes = 64 * 1024;
constexpr size_t kDiscardBytes = 4096;

// Returns the status for a request that cannot be read.
int GetFaultStatus(const ErrorCode& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
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

HttpSession::HttpSession(tcp::socket socket, std::shared_ptr<HttpServer::Impl> server)
    : m_socket(std::move(socket)), m_server(std::move(server)) {
  m_server->sessions.insert(this);
}

HttpSession::~HttpSession() {
  FinishRequest();
  Leave();
}

void HttpSession::Start() {
  BeginRead();
  // The request often arrives with the connection.
  Receive();
}

void HttpSession::CloseIfIdle(TimePoint now) {
  if (!IsIdle()) return;
  if (!m_has_carried_request) {
    if (!m_found_unused_at.has_value()) m_found_unused_at = now;
    if (now - *m_found_unused_at < kFirstRequestTime) return;
  }
  Close();
}

bool HttpSession::HasUnread() const {
  if (m_buffer.size() > 0 || (m_state == State::kReading && HasBegunRequest())) return true;
  ErrorCode error;
  return m_socket.available(error) > 0;
}

bool HttpSession::CheckTime(TimePoint now) {
  if (m_state == State::kLingering) {
    if (now - m_read_since >= kLingerTime) Close();
    return false;
  }
  if (m_state != State::kReading) return false;
  const HttpLimits& limits = m_server->limits;
  if (!HasBegunRequest()) {
    const bool is_over = m_idle_limit.IsOver(limits.idle_timeout, now) && IsIdle();
    if (is_over) Close();
    return is_over;
  }
  if (!m_has_begun) {
    m_has_begun = true;
    m_read_since = now;
  }
  const Duration allowed = m_parser->is_header_done() ? 2 * limits.header_timeout : limits.header_timeout;
  if (limits.header_timeout > Duration::zero() && now - m_read_since >= allowed) RefuseRequest(408);
  return false;
}

void HttpSession::Send(HttpResponse response) {
  if (m_state != State::kAnswering) return;
  http::response<http::string_body> message(static_cast<http::status>(response.status), 11, std::move(response.body));
  for (const auto& [name, value] : response.headers.GetFields()) message.insert(name, value);
  message.keep_alive(DecideKeepAlive());
  message.prepare_payload();
  AppendMessage(message);
  m_is_last = true;
  Flush();
}

void HttpSession::StartStream(int status, const HttpHeaders& headers) {
  if (m_state != State::kAnswering) return;
  http::response<http::empty_body> message(static_cast<http::status>(status), 11);
  for (const auto& [name, value] : headers.GetFields()) message.insert(name, value);
  message.keep_alive(DecideKeepAlive());
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

void HttpSession::SendChunk(std::string data) {
  if (m_state != State::kAnswering || data.empty()) return;
  m_pending += boost::beast::buffers_to_string(http::make_chunk(asio::buffer(data)));
  FlushSoon();
}

void HttpSession::EndStream() {
  if (m_state != State::kAnswering) return;
  m_pending += boost::beast::buffers_to_string(http::make_chunk_last());
  m_is_last = true;
  FlushSoon();
}

template <typename Message>
void HttpSession::AppendMessage(const Message& message) {
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

void HttpSession::BeginRead() {
  m_state = State::kReading;
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(static_cast<uint32_t>(m_server->limits.max_header_bytes));
  m_parser->body_limit(m_server->limits.max_body_bytes);
  m_read_since = GetMonotonicTime();
  m_idle_limit.Begin(m_server->limits.idle_timeout, m_read_since);
  m_has_begun = false;
}

void HttpSession::WaitUntilReadable() {
  if (m_is_waiting) return;
  m_is_waiting = true;
  m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const ErrorCode& error) {
    self->m_is_waiting = false;
    if (self->m_state == State::kClosed) return;
    if (error) {
      self->Close();
    } else {
      self->OnReadable();
    }
  });
}

void HttpSession::OnReadable() {
  if (m_state == State::kReading) {
    Receive();
  } else if (m_state == State::kAnswering) {
    CheckForDisconnect();
  } else {
    Discard();
  }
}

void HttpSession::Receive() {
  ErrorCode error;
  const size_t count = m_socket.read_some(m_buffer.prepare(boost::beast::read_size(m_buffer, kMaxReadBytes)), error);
  if (error == asio::error::would_block) {
    WaitUntilReadable();
  } else if (error) {
    Close();
  } else {
    m_buffer.commit(count);
    Parse();
  }
}

void HttpSession::Parse() {
  while (m_buffer.size() > 0 && !m_parser->is_done()) {
    ErrorCode error;
    m_buffer.consume(m_parser->put(m_buffer.cdata(), error));
    if (error == http::error::need_more) break;
    if (error) {
      RefuseRequest(GetFaultStatus(error));
      return;
    }
  }
  if (m_parser->is_done()) {
    HandleRequest();
  } else {
    WaitUntilReadable();
  }
}

void HttpSession::HandleRequest() {
  HttpRequest request;
  auto message = m_parser->release();
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  request.body = std::move(message.body());
  m_keep_alive = message.keep_alive();
  m_state = State::kAnswering;
  m_has_carried_request = true;
  m_is_last = false;
  ++m_server->in_flight;
  WaitUntilReadable();
  m_server->handler(std::move(request), shared_from_this());
}

void HttpSession::RefuseRequest(int status) {
  m_is_refused = true;
  m_state = State::kAnswering;
  m_is_last = false;
  ++m_server->in_flight;
  m_keep_alive = false;
  const std::string type(GetFaultType(status));
  Send(MakeJsonResponse(status, R"({"error":{"type":")" + type + R"("}})"));
}

// Closes the session if the caller has gone away while its answer is being made.
void HttpSession::CheckForDisconnect() {
  if (m_is_refused) return;
  ErrorCode error;
  char byte = 0;
  m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block) {
    WaitUntilReadable();
  } else if (error) {
    Close();
  }
}

void HttpSession::Linger() {
  m_state = State::kLingering;
  ++m_server->lingering;
  m_server->StartSweep();
  m_read_since = GetMonotonicTime();
  m_buffer.clear();
  ErrorCode ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  Discard();
}

void HttpSession::Discard() {
  std::array<char, kDiscardBytes> bytes;
  ErrorCode error;
  while (!error) m_socket.read_some(asio::buffer(bytes), error);
  if (error == asio::error::would_block) {
    WaitUntilReadable();
  } else {
    Close();
  }
}

void HttpSession::FlushSoon() {
  if (m_is_flush_posted || !m_writing.empty()) return;
  m_is_flush_posted = true;
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    self->m_is_flush_posted = false;
    if (self->m_state != State::kClosed) self->Flush();
  });
}

void HttpSession::Flush() {
  if (!m_writing.empty()) return;
  if (m_pending.empty()) return;
  std::swap(m_writing, m_pending);
  asio::async_write(m_socket, asio::buffer(m_writing),
                    [self = shared_from_this()](const ErrorCode& error, size_t) { self->OnWritten(error); });
}

void HttpSession::OnWritten(const ErrorCode& error) {
  m_writing.clear();
  if (error) {
    Close();
  } else if (!m_pending.empty()) {
    Flush();
  } else if (m_is_last && m_state == State::kAnswering) {
    OnAnswered();
  }
}

void HttpSession::OnAnswered() {
  FinishRequest();
  if (m_is_kept_after) {
    BeginRead();
    Parse();
    return;
  }
  // A caller that has asked for the close sends nothing more.
  const bool may_send_more = m_is_refused || m_keep_alive || HasUnread();
  if (may_send_more) {
    Linger();
  } else {
    Close();
  }
}

void HttpSession::FinishRequest() {
  if (m_state != State::kAnswering) return;
  m_state = State::kReading;
  m_on_closed = nullptr;
  --m_server->in_flight;
}

void HttpSession::Leave() {
  if (m_state == State::kLingering) --m_server->lingering;
  m_state = State::kClosed;
  m_server->sessions.erase(this);
}

void HttpSession::Close() {
  if (m_state == State::kClosed) return;
  const std::function<void()> on_closed = std::move(m_on_closed);
  FinishRequest();
  Leave();
  ErrorCode ignored;
  m_socket.close(ignored);
  if (on_closed) on_closed();
}

}  // namespace plantain

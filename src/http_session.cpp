#include "http_session_asio.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <iterator>

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
constexpr size_t kDiscardBytes = 4096;
// Reads in one step of the loop of a connection whose bytes are dropped. A caller that sends faster than the bytes are
// dropped would hold up all others.
constexpr int kMaxDiscards = 16;
// Longest size and line ends of a chunk that are not counted as trailers.
constexpr size_t kChunkHeadBytes = 64;
// A buffer for answers that is larger is freed when it is empty.
constexpr size_t kMaxKeptBytes = 4096;
// Names, separators and ends of lines of a field.
constexpr size_t kFieldOverhead = 4;
// What a parsed field takes besides its bytes. A head of 16 KiB may have 3,000 fields of 5 bytes each.
constexpr size_t kFieldMemory = 128;
// Copies of a request besides the one that was read: the request of an attempt, and the client's message.
constexpr size_t kBodyCopies = 2;
constexpr const char* kNoMemoryRetryAfter = "1";

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
    case 503:
      return "memory_short";
    default:
      return "malformed_request";
  }
}

// Assigning an empty string would keep the capacity.
void Free(std::string& text) { std::string().swap(text); }

}  // namespace

HttpSession::HttpSession(tcp::socket socket, std::shared_ptr<HttpServer::Impl> server)
    : m_socket(std::move(socket)), m_server(std::move(server)), m_account(m_server->memory, *this) {
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
  // Appending would double the capacity.
  if (message.body().size() > kMaxKeptBytes)
    m_pending.reserve(m_pending.size() + message.body().size() + kMaxKeptBytes);
  AppendMessage(message);
  m_is_last = true;
  m_request_bytes = 0;
  OnAnswerGrown();
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
  OnAnswerGrown();
  FlushSoon();
}

void HttpSession::SendChunk(std::string data) {
  if (m_state != State::kAnswering || data.empty()) return;
  m_pending += boost::beast::buffers_to_string(http::make_chunk(asio::buffer(data)));
  OnAnswerGrown();
  FlushSoon();
}

void HttpSession::EndStream() {
  if (m_state != State::kAnswering) return;
  m_pending += boost::beast::buffers_to_string(http::make_chunk_last());
  m_is_last = true;
  m_request_bytes = 0;
  OnAnswerGrown();
  FlushSoon();
}

template <typename Message>
void HttpSession::AppendMessage(const Message& message) {
  http::response_serializer<http::string_body> serializer(message);
  ErrorCode error;
  while (!serializer.is_done()) {
    serializer.next(error, [&](ErrorCode&, const auto& buffers) {
      for (const asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        m_pending.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(asio::buffer_size(buffers));
    });
    if (error) return;
  }
}

void HttpSession::BeginRead() {
  m_state = State::kReading;
  m_parser.emplace();
  m_max_header_bytes = m_server->limits.max_header_bytes;
  m_max_body_bytes = m_server->limits.max_body_bytes;
  m_head_bytes = 0;
  m_field_memory = 0;
  m_reserved_body_bytes = 0;
  m_parser->header_limit(static_cast<uint32_t>(m_server->limits.max_header_bytes));
  m_parser->body_limit(m_max_body_bytes);
  m_read_since = GetMonotonicTime();
  m_idle_limit.Begin(m_server->limits.idle_timeout, m_read_since);
  m_has_begun = false;
  m_account.SetState(m_buffer.size() > 0 ? CallerState::kReading : CallerState::kIdle);
  UpdateHeld();
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
  const size_t count = m_socket.read_some(asio::buffer(m_server->received), error);
  if (error == asio::error::would_block) {
    WaitUntilReadable();
  } else if (error) {
    Close();
  } else {
    m_account.SetState(CallerState::kReading);
    m_account.RecordProgress(count);
    if (!m_account.Reserve(GetHeldBytes() + count)) {
      RefuseRequest(503);
      return;
    }
    asio::buffer_copy(m_buffer.prepare(count), asio::buffer(m_server->received, count));
    m_buffer.commit(count);
    Parse();
  }
}

void HttpSession::Parse() {
  while (m_buffer.size() > 0 && !m_parser->is_done()) {
    if (!ParseSome()) break;
  }
  if (m_state != State::kReading) return;
  if (m_buffer.size() == 0) m_buffer.shrink_to_fit();
  if (m_parser->is_done()) {
    HandleRequest();
    return;
  }
  if (IsTrailerTooLong()) {
    RefuseRequest(431);
    return;
  }
  UpdateHeld();
  WaitUntilReadable();
}

bool HttpSession::ParseSome() {
  const bool is_in_head = !m_parser->is_header_done();
  if (!is_in_head && !GrowBody()) {
    RefuseRequest(503);
    return false;
  }
  ErrorCode error;
  const size_t count = m_parser->put(m_buffer.cdata(), error);
  m_buffer.consume(count);
  if (is_in_head) m_head_bytes += count;
  if (error == http::error::need_more) return false;
  if (error) {
    RefuseRequest(GetFaultStatus(error));
    return false;
  }
  if (!is_in_head || !m_parser->is_header_done()) return true;
  if (OnHeadParsed()) return true;
  RefuseRequest(503);
  return false;
}

bool HttpSession::OnHeadParsed() {
  // The head is parsed by itself, so that its bytes are known; from here on as much as possible is parsed at once.
  m_parser->eager(true);
  m_field_bytes = GetFieldBytes();
  m_field_memory = GetFieldMemory();
  // The parser allocates a body of known length at once, with its first byte.
  const size_t body_bytes = m_parser->content_length().value_or(0);
  if (!m_account.Reserve(GetHeldBytes() + body_bytes)) return false;
  m_reserved_body_bytes = body_bytes;
  return true;
}

// The string would double its capacity, also beyond the largest body.
bool HttpSession::GrowBody() {
  std::string& body = m_parser->get().body();
  if (!m_parser->chunked() || m_buffer.size() <= body.capacity() - body.size()) return true;
  const size_t wanted = std::max(body.size() + m_buffer.size(), 2 * body.size());
  const size_t capacity = std::max(body.size(), std::min<size_t>(wanted, m_max_body_bytes));
  if (capacity <= body.capacity()) return true;
  if (!m_account.Reserve(GetHeldBytes() + capacity)) return false;
  std::string grown;
  grown.reserve(capacity);
  grown.append(body);
  body.swap(grown);
  return true;
}

bool HttpSession::IsTrailerTooLong() const {
  return m_parser->is_header_done() && m_head_bytes + m_buffer.size() > m_max_header_bytes + kChunkHeadBytes;
}

size_t HttpSession::GetFieldBytes() const {
  size_t bytes = 0;
  for (const auto& field : m_parser->get()) bytes += field.name_string().size() + field.value().size() + kFieldOverhead;
  return bytes;
}

size_t HttpSession::GetFieldMemory() const {
  const auto& fields = m_parser->get();
  return static_cast<size_t>(std::distance(fields.begin(), fields.end())) * kFieldMemory;
}

size_t HttpSession::GetTrailerBytes() const { return GetFieldBytes() - m_field_bytes; }

size_t HttpSession::GetParsedBytes() const {
  if (!m_parser.has_value()) return 0;
  return m_head_bytes + m_field_memory + std::max(m_parser->get().body().capacity(), m_reserved_body_bytes);
}

size_t HttpSession::GetHeldBytes() const {
  size_t bytes = kConnectionBytes + m_buffer.capacity() + m_request_bytes + m_pending.capacity();
  // The write of a closed connection has been cancelled, and the callback that frees its buffer is queued. Counting the
  // buffer until then would refuse others for whom this connection was shed.
  if (m_state != State::kClosed) bytes += m_writing.capacity();
  return bytes + GetParsedBytes();
}

void HttpSession::OnAnswerGrown() {
  m_account.SetState(m_is_refused ? CallerState::kClosing : CallerState::kWriting);
  UpdateHeld();
  m_server->ShedExcessSoon();
}

void HttpSession::DropRequest() {
  m_parser.reset();
  m_buffer.clear();
  m_buffer.shrink_to_fit();
}

void HttpSession::Shed(ShedCause cause) {
  const auto self = shared_from_this();
  const bool may_refuse = m_state == State::kReading && HasBegunRequest() && cause == ShedCause::kMemory;
  if (may_refuse) {
    RefuseRequest(503);
  } else {
    // The request ends with the connection. Counting it until it is destroyed would shed others for the same shortage.
    m_request_bytes = 0;
    Close();
  }
}

void HttpSession::HandleRequest() {
  if (m_head_bytes + GetTrailerBytes() > m_max_header_bytes) {
    RefuseRequest(431);
    return;
  }
  const std::string& body = m_parser->get().body();
  if (m_parser->get().method() == http::verb::trace && !body.empty()) {
    RefuseRequest(400);
    return;
  }
  const size_t head_bytes = m_head_bytes + GetTrailerBytes() + GetFieldMemory();
  const size_t request_bytes = (1 + kBodyCopies) * head_bytes + body.capacity() + kBodyCopies * body.size();
  // The request takes over what the parser holds, so that this is not counted twice.
  if (!m_account.Reserve(GetHeldBytes() - GetParsedBytes() + request_bytes)) {
    RefuseRequest(503);
    return;
  }
  HttpRequest request;
  auto message = m_parser->release();
  m_parser.reset();
  m_request_bytes = request_bytes;
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
  m_account.SetState(CallerState::kHandled);
  UpdateHeld();
  WaitUntilReadable();
  m_server->handler(std::move(request), shared_from_this());
}

void HttpSession::RefuseRequest(int status) {
  m_is_refused = true;
  DropRequest();
  m_state = State::kAnswering;
  m_is_last = false;
  ++m_server->in_flight;
  m_keep_alive = false;
  const std::string type(GetFaultType(status));
  HttpResponse response = MakeJsonResponse(status, R"({"error":{"type":")" + type + R"("}})");
  if (status == 503) response.headers.Add("Retry-After", kNoMemoryRetryAfter);
  Send(std::move(response));
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
  DropRequest();
  m_account.SetState(CallerState::kClosing);
  UpdateHeld();
  ErrorCode ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  Discard();
}

void HttpSession::Discard() {
  std::array<char, kDiscardBytes> bytes;
  ErrorCode error;
  for (int i = 0; i < kMaxDiscards && !error; ++i) m_socket.read_some(asio::buffer(bytes), error);
  if (!error || error == asio::error::would_block) {
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
  m_written = 0;
  WriteSome();
}

// Writes in parts, so that it shows whether the caller takes them.
void HttpSession::WriteSome() {
  m_socket.async_write_some(asio::const_buffer(asio::buffer(m_writing)) + m_written,
                            [self = shared_from_this()](const ErrorCode& error, size_t count) {
                              self->m_written += count;
                              self->m_account.RecordProgress(count);
                              const bool is_open = !error && self->m_state != State::kClosed;
                              if (is_open && self->m_written < self->m_writing.size()) {
                                self->WriteSome();
                              } else {
                                self->OnWritten(error);
                              }
                            });
}

void HttpSession::OnWritten(const ErrorCode& error) {
  m_writing.clear();
  m_written = 0;
  if (m_writing.capacity() > kMaxKeptBytes) Free(m_writing);
  if (error) {
    Close();
  } else if (!m_pending.empty()) {
    Flush();
  } else if (m_is_last && m_state == State::kAnswering) {
    OnAnswered();
  } else if (m_state == State::kAnswering && !m_is_refused) {
    m_account.SetState(CallerState::kHandled);
  }
  UpdateHeld();
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
  m_account.Leave();
}

void HttpSession::Close() {
  if (m_state == State::kClosed) return;
  const std::function<void()> on_closed = std::move(m_on_closed);
  FinishRequest();
  Leave();
  ErrorCode ignored;
  m_socket.close(ignored);
  DropRequest();
  Free(m_pending);
  UpdateHeld();
  if (on_closed) on_closed();
}

}  // namespace plantain

#include "http_client.h"

#include "loop_asio.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <deque>
#include <limits>
#include <map>
#include <optional>

#include "clock.h"
#include "failure_type.h"
#include "http_status.h"
#include "socket_option.h"

namespace plantain {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t kMaxIdlePerTarget = 256;
constexpr size_t kReadBufferBytes = 4 * 1024;
// Maximum length of the bytes that were received and not parsed yet. It bounds the head of a chunk and the trailer,
// which are parsed only when they are whole.
constexpr size_t kMaxUnparsedBytes = 64 * 1024;
// Maximum length of an answer's head.
constexpr uint32_t kMaxHeadBytes = 16 * 1024;
// Maximum number of informational heads (status 1xx) before an answer. None of our requests asks for any.
constexpr int kMaxInformationalHeads = 8;
constexpr unsigned kSwitchingProtocols = 101;
// A kept connection is not used this close to the end of the server's idle time, which may have passed by the time that
// the request arrives.
constexpr Duration kIdleMargin = Milliseconds(500);
constexpr Duration kSweepInterval = Milliseconds(500);

// Returns the idle time that a `Keep-Alive: timeout=N` header grants, or nothing.
std::optional<Duration> ParseKeepAlive(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const size_t at = value.find(kName);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = value.substr(at + kName.size());
  uint32_t seconds = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

struct Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}

  // An idle connection is usable only if the server has neither closed it nor sent anything.
  bool IsQuiet() {
    ErrorCode error;
    char byte = 0;
    socket.non_blocking(true, error);
    if (error) return false;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  tcp::socket socket;
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  // When it was last used, and until when the server keeps it.
  TimePoint idle_since;
  TimePoint usable_until = TimePoint::max();
};

using Pool = std::map<HttpTarget, std::deque<std::unique_ptr<Connection>>>;

}  // namespace

struct HttpClient::Impl {
  Impl(asio::io_context& context_in, MemoryBudget& answer_memory_in)
      : context(context_in), answer_memory(answer_memory_in) {}

  std::unique_ptr<Connection> TakeIdle(const HttpTarget& target, Duration max_idle) {
    const TimePoint now = GetMonotonicTime();
    longest_idle = std::max(longest_idle, max_idle);
    CloseUnusable(now);
    auto& idle = pool[target];
    while (!idle.empty()) {
      // The most recently used one comes first; if it has been idle for too long, so have the others.
      if (now - idle.back()->idle_since >= max_idle) return nullptr;
      std::unique_ptr<Connection> connection = std::move(idle.back());
      idle.pop_back();
      if (now < connection->usable_until && connection->IsQuiet()) return connection;
    }
    return nullptr;
  }

  // Closes kept connections that no call may use any more. A server that was replaced gets no further call, so that
  // nothing else would close those to it.
  void CloseUnusable(TimePoint now) {
    if (now < next_sweep_at) return;
    next_sweep_at = now + kSweepInterval;
    for (auto& [target, idle] : pool) {
      std::erase_if(idle, [&](const std::unique_ptr<Connection>& connection) {
        return now - connection->idle_since >= longest_idle || now >= connection->usable_until;
      });
    }
    std::erase_if(pool, [](const auto& entry) { return entry.second.empty(); });
  }

  void Keep(const HttpTarget& target, std::unique_ptr<Connection> connection, std::optional<Duration> idle_time) {
    // Bytes after a whole answer belong to no request.
    if (connection->buffer.size() > 0) return;
    connection->idle_since = GetMonotonicTime();
    connection->usable_until = TimePoint::max();
    if (idle_time.has_value()) connection->usable_until = connection->idle_since + *idle_time - kIdleMargin;
    auto& idle = pool[target];
    if (idle.size() < kMaxIdlePerTarget) idle.push_back(std::move(connection));
  }

  asio::io_context& context;
  MemoryBudget& answer_memory;
  Pool pool;
  // Longest idle time that any call has allowed.
  Duration longest_idle{};
  TimePoint next_sweep_at;
};

namespace {

// Drives one request over one connection.
template <typename Impl>
class Call : public HttpCall, public std::enable_shared_from_this<Call<Impl>> {
 public:
  // `is_collected` tells whether the callbacks collect the body in memory.
  Call(std::shared_ptr<Impl> client, HttpTarget target, const HttpRequest& request, const HttpCallOptions& options,
       HttpCallbacks callbacks, bool is_collected)
      : m_client(std::move(client)),
        m_target(std::move(target)),
        m_options(options),
        m_callbacks(std::move(callbacks)),
        m_timer(m_client->context),
        m_is_collected(is_collected),
        m_memory(m_client->answer_memory) {
    m_request.version(11);
    m_request.method_string(request.method);
    m_request.target(request.target);
    if (request.headers.Find("Host").empty()) m_request.set(http::field::host, m_target.address.Get());
    for (const auto& [name, value] : request.headers.GetFields()) m_request.insert(name, value);
    if (!m_options.is_kept) m_request.keep_alive(false);
    m_request.body() = request.body;
    m_has_forbidden_body = HasForbiddenBody(request);
    // The library throws for such a body.
    if (!m_has_forbidden_body) m_request.prepare_payload();
  }

  void Begin() {
    if (m_has_forbidden_body) {
      asio::post(m_client->context, [self = this->shared_from_this()] {
        if (!self->m_is_done) self->Finish(MakeFailure(FailureCode::kProtocol, "the method allows no body"));
      });
      return;
    }
    m_began_at = GetMonotonicTime();
    m_connection = m_client->TakeIdle(m_target, m_options.max_idle);
    m_is_on_kept_connection = m_connection != nullptr;
    if (m_is_on_kept_connection) {
      ArmTimer(m_options.timeout);
      Write();
      return;
    }
    const bool has_own_time = m_options.connect_timeout > Duration::zero();
    ArmTimer(has_own_time ? std::min(m_options.connect_timeout, m_options.timeout) : m_options.timeout);
    Connect();
  }

  bool IsSent() const override { return m_is_sent; }

  bool IsOnKeptConnection() const override { return m_is_on_kept_connection; }

  void Cancel() override {
    m_is_done = true;
    m_timer.cancel();
    m_callbacks = {};
    CloseSocket();
  }

 private:
  void ArmTimer(Duration delay) {
    m_timer.expires_after(delay);
    m_timer.async_wait([weak = this->weak_from_this()](const ErrorCode& error) {
      const auto self = weak.lock();
      if (error || self == nullptr) return;
      const FailureCode code = self->m_is_sent ? FailureCode::kTimeout : FailureCode::kConnectFailed;
      self->Finish(MakeFailure(code, "no complete answer within the time allowed"));
    });
  }

  void Connect() {
    m_connection = std::make_unique<Connection>(m_client->context);
    ErrorCode error;
    const auto address = asio::ip::make_address(m_target.address.Get(), error);
    if (error) {
      asio::post(m_client->context, [self = this->shared_from_this()] {
        self->Finish(MakeFailure(FailureCode::kConnectFailed, "not an IP address"));
      });
      return;
    }
    m_connection->socket.async_connect(tcp::endpoint(address, m_target.port.Get()),
                                       [self = this->shared_from_this()](const ErrorCode& connect_error) {
                                         if (self->m_is_done) return;
                                         self->OnConnected(connect_error);
                                       });
  }

  void OnConnected(const ErrorCode& error) {
    if (error) {
      Finish(MakeFailure(FailureCode::kConnectFailed, error.message()));
      return;
    }
    ErrorCode ignored;
    m_connection->socket.set_option(tcp::no_delay(true), ignored);
    SetDeadPeerTimeout(m_connection->socket.native_handle());
    if (m_options.connect_timeout > Duration::zero()) {
      ArmTimer(std::max(Duration::zero(), m_options.timeout - (GetMonotonicTime() - m_began_at)));
    }
    Write();
  }

  void Write() {
    m_is_sent = true;
    http::async_write(m_connection->socket, m_request,
                      [self = this->shared_from_this()](const ErrorCode& error, size_t) {
                        if (self->m_is_done) return;
                        if (error) {
                          self->FailConnection(error);
                          return;
                        }
                        self->ReadHead();
                      });
  }

  void ReadHead() {
    BeginHead();
    Read();
  }

  void BeginHead() {
    m_parser.emplace();
    m_parser->header_limit(kMaxHeadBytes);
    // OnHead and OnBody apply the limit. Boost 1.74 would count bytes of a body without a length more than once, and
    // compares Content-Length with an unset limit as if the limit were 0.
    m_parser->body_limit(std::numeric_limits<uint64_t>::max());
    m_head_bytes = 0;
  }

  void Read() {
    const size_t size = boost::beast::read_size(m_connection->buffer, kMaxUnparsedBytes);
    if (size == 0) {
      FailProtocol("a chunk's head or the trailer is longer than 64 KiB");
      return;
    }
    m_connection->socket.async_read_some(m_connection->buffer.prepare(size),
                                         [self = this->shared_from_this()](const ErrorCode& error, size_t count) {
                                           if (self->m_is_done) return;
                                           self->OnRead(error, count);
                                         });
  }

  void OnRead(const ErrorCode& error, size_t count) {
    if (error == asio::error::eof) {
      OnEndOfStream();
    } else if (error) {
      FailConnection(error);
    } else {
      m_connection->buffer.commit(count);
      ParseAll();
    }
  }

  void OnEndOfStream() {
    ErrorCode error = http::error::end_of_stream;
    if (m_parser->got_some()) m_parser->put_eof(error);
    if (error) {
      FailConnection(error);
    } else {
      Finish(absl::OkStatus());
    }
  }

  // Parses what has been received, then reads more unless the call has ended. The parser is driven here because the
  // read operations of Boost 1.74 go on for as long as a head or a trailer does not end.
  void ParseAll() {
    while (!m_is_done) {
      if (m_connection->buffer.size() == 0 || !ParseSome()) {
        Read();
        return;
      }
    }
  }

  // Parses one part of the answer. Returns false if more bytes are needed.
  bool ParseSome() {
    const bool is_head = !m_parser->is_header_done();
    if (!is_head) {
      m_parser->get().body().data = m_read_buffer.data();
      m_parser->get().body().size = m_read_buffer.size();
    }
    ErrorCode error;
    const size_t used = m_parser->put(m_connection->buffer.cdata(), error);
    m_connection->buffer.consume(used);
    if (is_head) m_head_bytes += used;
    if (m_head_bytes > kMaxHeadBytes) error = http::error::header_limit;
    if (is_head && !error) {
      OnHead();
    } else if (!is_head && (!error || error == http::error::need_buffer)) {
      OnBody();
    } else if (error != http::error::need_more) {
      FailProtocol(error.message());
    }
    return error != http::error::need_more;
  }

  void OnHead() {
    // The parser ends with an error unless the status has three digits.
    if (!IsHttpStatus(m_parser->get().result_int())) {
      FailProtocol("the status " + std::to_string(m_parser->get().result_int()) + " is not from 100 to 599");
      return;
    }
    if (http::to_status_class(m_parser->get().result_int()) == http::status_class::informational) {
      SkipInformationalHead();
      return;
    }
    if (m_callbacks.on_head) {
      HttpHeaders headers;
      for (const auto& field : m_parser->get()) {
        headers.Add(std::string(field.name_string()), std::string(field.value()));
      }
      m_idle_time = ParseKeepAlive(headers.Find("Keep-Alive"));
      m_callbacks.on_head(static_cast<int>(m_parser->get().result_int()), headers);
    }
    if (m_is_done) return;
    if (m_request.method() == http::verb::head || m_parser->is_done()) {
      Finish(absl::OkStatus());
    } else if (m_parser->content_length().value_or(0) > m_options.max_body_bytes) {
      FailBodyLimit();
    }
  }

  void SkipInformationalHead() {
    if (m_parser->get().result_int() == kSwitchingProtocols) {
      FailProtocol("the server switches to another protocol");
    } else if (++m_informational_heads > kMaxInformationalHeads) {
      FailProtocol("more than 8 informational heads");
    } else {
      BeginHead();
    }
  }

  void OnBody() {
    const size_t taken = m_read_buffer.size() - m_parser->get().body().size;
    m_body_bytes += taken;
    if (m_body_bytes > m_options.max_body_bytes) {
      FailBodyLimit();
      return;
    }
    if (m_is_collected && !m_memory.Resize(m_body_bytes)) {
      Finish(MakeFailure(FailureCode::kMemoryLimit, "no memory for the body among other answers"));
      return;
    }
    if (taken > 0 && m_callbacks.on_data) m_callbacks.on_data(std::string_view(m_read_buffer.data(), taken));
    if (!m_is_done && m_parser->is_done()) Finish(absl::OkStatus());
  }

  void FailBodyLimit() { FailProtocol("the body is larger than allowed"); }

  void FailConnection(const ErrorCode& error) { Finish(MakeFailure(FailureCode::kConnectionLost, error.message())); }

  void FailProtocol(const std::string& detail) { Finish(MakeFailure(FailureCode::kProtocol, detail)); }

  void Finish(const absl::Status& status) {
    if (m_is_done) return;
    m_is_done = true;
    m_timer.cancel();
    const bool is_head = m_request.method() == http::verb::head;
    if (status.ok() && m_options.is_kept && m_parser->get().keep_alive() && !is_head) {
      m_client->Keep(m_target, std::move(m_connection), m_idle_time);
    } else {
      CloseSocket();
    }
    const HttpCallbacks callbacks = std::move(m_callbacks);
    if (callbacks.on_done) callbacks.on_done(status);
  }

  // The connection itself lives on until its pending handlers have run.
  void CloseSocket() {
    if (m_connection == nullptr) return;
    ErrorCode ignored;
    m_connection->socket.close(ignored);
  }

  std::shared_ptr<Impl> m_client;
  HttpTarget m_target;
  HttpCallOptions m_options;
  TimePoint m_began_at;
  std::optional<Duration> m_idle_time;
  HttpCallbacks m_callbacks;
  asio::steady_timer m_timer;
  const bool m_is_collected;
  bool m_has_forbidden_body = false;
  MemoryReservation m_memory;
  http::request<http::string_body> m_request;
  std::unique_ptr<Connection> m_connection;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  std::array<char, kReadBufferBytes> m_read_buffer;
  // Length of the current head as far as it is parsed.
  size_t m_head_bytes = 0;
  int m_informational_heads = 0;
  size_t m_body_bytes = 0;
  bool m_is_sent = false;
  bool m_is_on_kept_connection = false;
  bool m_is_done = false;
};

}  // namespace

HttpClient::HttpClient(Loop& loop, MemoryBudget& answer_memory)
    : m_impl(std::make_shared<Impl>(loop.GetImpl().context, answer_memory)) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::Send(const HttpTarget& target, const HttpRequest& request,
                                           HttpCallOptions options, HttpCallbacks callbacks) {
  auto call = std::make_shared<Call<Impl>>(m_impl, target, request, options, std::move(callbacks), false);
  call->Begin();
  return call;
}

std::shared_ptr<HttpCall> HttpClient::Fetch(const HttpTarget& target, const HttpRequest& request,
                                            HttpCallOptions options,
                                            std::function<void(absl::StatusOr<HttpResponse>)> on_done) {
  auto response = std::make_shared<HttpResponse>();
  HttpCallbacks callbacks;
  callbacks.on_head = [response](int status, const HttpHeaders& headers) {
    response->status = status;
    response->headers = headers;
  };
  callbacks.on_data = [response](std::string_view data) { response->body.append(data); };
  callbacks.on_done = [response, on_done = std::move(on_done)](const absl::Status& status) {
    if (status.ok()) {
      on_done(std::move(*response));
    } else {
      on_done(status);
    }
  };
  auto call = std::make_shared<Call<Impl>>(m_impl, target, request, options, std::move(callbacks), true);
  call->Begin();
  return call;
}

void HttpClient::ForgetConnections(const HttpTarget& target) { m_impl->pool.erase(target); }

}  // namespace plantain

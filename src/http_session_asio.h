// One connection of an HTTP server. Only the server's own sources include this header.

#ifndef PLANTAIN_HTTP_SESSION_ASIO_H_
#define PLANTAIN_HTTP_SESSION_ASIO_H_

#include "http_server.h"
#include "idle_limit.h"
#include "loop_asio.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plantain {

class HttpSession;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  // Most bytes that one read takes from a connection.
  static constexpr size_t kMaxReadBytes = 64 * 1024;

  Impl(Loop& loop, std::shared_ptr<CallerMemory> memory_in, IpAddress address_in, Port port_in, size_t max_body,
       HttpHandler handler_in)
      : context(loop.GetImpl().context),
        memory(std::move(memory_in)),
        acceptor(context),
        address(std::move(address_in)),
        port(port_in),
        handler(std::move(handler_in)),
        sweep_timer(context),
        accept_timer(context),
        received(kMaxReadBytes) {
    limits.max_body_bytes = max_body;
  }

  void WaitForConnections();
  // Accepts all connections that are waiting. Returns false if that cannot be done now.
  bool AcceptWaiting();
  void AcceptLater();
  // Sheds connections, once the callback in progress is over, if answers hold more than is allowed.
  void ShedExcessSoon();
  // Closes connections that are over their time limits, as long as there are such limits or lingering connections.
  void StartSweep();
  void SweepLater();
  void Sweep();

  boost::asio::io_context& context;
  const std::shared_ptr<CallerMemory> memory;
  boost::asio::ip::tcp::acceptor acceptor;
  IpAddress address;
  Port port;
  HttpLimits limits;
  HttpHandler handler;
  boost::asio::steady_timer sweep_timer;
  boost::asio::steady_timer accept_timer;
  // Takes what is read from a connection until the session has reserved memory for it.
  std::vector<char> received;
  // Sessions whose connections are open.
  std::set<HttpSession*> sessions;
  size_t in_flight = 0;
  size_t lingering = 0;
  bool is_sweeping = false;
  bool is_shed_posted = false;
  // Whether connections may stay open after an answer.
  bool is_keeping_alive = true;
};

// One connection. Requests on it are handled one after the other.
//
// The socket is read only when it is readable and in the same step of the loop, so that between two steps each byte is
// either in the socket or in the session's buffer. A stop can thus tell whether a request has been read.
class HttpSession : public HttpResponder, public CallerConnection, public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServer::Impl> server);
  ~HttpSession() override;
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // Reads the first request.
  void Start();

  // Closes the connection unless a request has begun to arrive or is in progress. A connection that has not carried any
  // request is first left some time for one, counted from the first call.
  void CloseIfIdle(TimePoint now);

  // Applies the time limits. Returns whether it has closed the connection because it was idle for too long.
  bool CheckTime(TimePoint now);

  // Whether bytes have arrived that belong to no request that was handled.
  bool HasUnread() const;

  void Send(HttpResponse response) override;
  void StartStream(int status, const HttpHeaders& headers) override;
  void SendChunk(std::string data) override;
  void EndStream() override;
  void Abort() override { Close(); }
  void SetOnClosed(std::function<void()> callback) override { m_on_closed = std::move(callback); }
  size_t GetUnsentBytes() const override { return m_pending.size() + m_writing.size() - m_written; }

  void Shed(ShedCause cause) override;

 private:
  using ErrorCode = boost::system::error_code;
  using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class State {
    // Waits for a request or reads one.
    kReading,
    // A request has been read and its answer is not written yet.
    kAnswering,
    // The last answer is written; what still arrives is dropped until the caller closes.
    kLingering,
    kClosed,
  };

  // Decides whether the connection stays open after the answer that begins. Its head says so, and a caller may rely on
  // it with its next request, so that a stop which begins later does not change it.
  bool DecideKeepAlive() { return m_is_kept_after = m_keep_alive && m_server->is_keeping_alive; }
  bool HasBegunRequest() const { return m_parser.has_value() && (m_parser->got_some() || m_buffer.size() > 0); }

  template <typename Message>
  void AppendMessage(const Message& message);

  bool IsIdle() const { return m_state == State::kReading && !HasUnread(); }
  void BeginRead();
  void WaitUntilReadable();
  void OnReadable();
  void Receive();
  void Parse();
  // Parses one part of the request. Returns false if more bytes are needed or the request was refused.
  bool ParseSome();
  // Makes room in a chunked body for what the buffer holds. Returns false if there is no memory.
  bool GrowBody();
  // Called when the head has been parsed. Returns false if there is no memory for the body.
  bool OnHeadParsed();
  // Whether bytes that are not parsed yet, of trailers or of a chunk's head, exceed the limit together with the head.
  bool IsTrailerTooLong() const;
  size_t GetTrailerBytes() const;
  size_t GetFieldBytes() const;
  size_t GetFieldMemory() const;
  void HandleRequest();
  // Frees what has been read of a request.
  void DropRequest();
  // Returns what the parser holds, and will hold for a body of known length.
  size_t GetParsedBytes() const;
  size_t GetHeldBytes() const;
  void UpdateHeld() { m_account.Set(GetHeldBytes()); }
  // Counts an answer that has grown.
  void OnAnswerGrown();
  // Answers a request that cannot be read or is not allowed. It has not been handled, and what follows it on the
  // connection is not looked at.
  void RefuseRequest(int status);
  void CheckForDisconnect();
  // Ends the sending side and drops what still arrives.
  void Linger();
  void Discard();
  // Writes what has gathered once the callback in progress is over, so that head, first piece and end of an answer
  // that are made in one callback share a system call here and at the receiver.
  void FlushSoon();
  void Flush();
  void WriteSome();
  void OnWritten(const ErrorCode& error);
  void OnAnswered();
  void FinishRequest();
  // Removes the session from those that the server counts as open.
  void Leave();
  void Close();

  boost::asio::ip::tcp::socket m_socket;
  std::shared_ptr<HttpServer::Impl> m_server;
  State m_state = State::kReading;
  boost::beast::flat_buffer m_buffer;
  std::optional<RequestParser> m_parser;
  std::string m_pending;
  std::string m_writing;
  // Bytes of m_writing that the caller has taken.
  size_t m_written = 0;
  std::function<void()> m_on_closed;
  bool m_is_waiting = false;
  bool m_is_last = false;
  bool m_is_flush_posted = false;
  // Whether the caller's request allows further requests on the connection.
  bool m_keep_alive = false;
  bool m_is_kept_after = false;
  // A request on this connection was refused unread; the connection ends after the answer.
  bool m_is_refused = false;
  // Since when the session waits for the next request, or, once it has begun, for its end.
  TimePoint m_read_since;
  IdleLimit m_idle_limit;
  bool m_has_carried_request = false;
  // When the server, while it closes idle connections, first found this one without any request.
  std::optional<TimePoint> m_found_unused_at;
  bool m_has_begun = false;
  // Largest head with trailers of the request that is being read, the bytes of its head, and those of its fields.
  size_t m_max_header_bytes = 0;
  size_t m_max_body_bytes = 0;
  // Length of the body that the head states.
  size_t m_reserved_body_bytes = 0;
  size_t m_head_bytes = 0;
  size_t m_field_bytes = 0;
  // What the parser takes for the fields of the head besides their bytes.
  size_t m_field_memory = 0;
  // What a request that is being handled takes with its copies. Stays counted after the connection is closed for as
  // long as an attempt keeps the session, because the attempt goes on.
  size_t m_request_bytes = 0;
  CallerAccount m_account;
};

}  // namespace plantain

#endif  // PLANTAIN_HTTP_SESSION_ASIO_H_

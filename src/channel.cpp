#include "channel.h"

#include "loop_asio.h"

#include <zmq.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>

#include "failure_type.h"

namespace plantain {
namespace {

namespace asio = boost::asio;

constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 1000;
// Messages handled in one callback, so that other callbacks of the loop are not delayed.
constexpr int kMaxMessagesPerDrain = 64;

void SetOption(void* socket, int option, int value) { zmq_setsockopt(socket, option, &value, sizeof(value)); }

int ToOptionMs(Duration time) { return static_cast<int>(std::chrono::duration_cast<Milliseconds>(time).count()); }

void SetCommonOptions(void* socket, const ChannelOptions& options) {
  SetOption(socket, ZMQ_LINGER, ToOptionMs(options.linger));
  SetOption(socket, ZMQ_SNDHWM, options.queue_messages);
  SetOption(socket, ZMQ_RCVHWM, options.queue_messages);
  const int probe_ms = ToOptionMs(options.probe_period);
  SetOption(socket, ZMQ_HEARTBEAT_IVL, probe_ms);
  if (probe_ms > 0) SetOption(socket, ZMQ_HEARTBEAT_TIMEOUT, ToOptionMs(options.silence_timeout));
  const int64_t max_bytes = static_cast<int64_t>(options.max_message_bytes);
  zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
}

std::string MakeUrl(const HttpTarget& target) {
  return "tcp://" + target.address.Get() + ":" + std::to_string(target.port.Get());
}

// One received frame. Frees the ZeroMQ message when it goes out of scope.
class Frame {
 public:
  Frame() { zmq_msg_init(&m_message); }
  ~Frame() { zmq_msg_close(&m_message); }
  Frame(const Frame&) = delete;
  Frame& operator=(const Frame&) = delete;

  bool Receive(void* socket) { return zmq_msg_recv(&m_message, socket, ZMQ_DONTWAIT) >= 0; }
  bool HasMore() const { return zmq_msg_more(&m_message) != 0; }
  std::string_view GetView() { return {static_cast<const char*>(zmq_msg_data(&m_message)), zmq_msg_size(&m_message)}; }

 private:
  zmq_msg_t m_message;
};

// Receives from a ZeroMQ socket on an Asio loop. ZeroMQ's descriptor is edge-triggered, so after each event and after
// each send the socket is read until no input is left.
class SocketReader : public std::enable_shared_from_this<SocketReader> {
 public:
  using OnReadable = std::function<bool(void* socket)>;

  SocketReader(asio::io_context& context, void* socket) : m_context(context), m_socket(socket), m_descriptor(context) {}
  ~SocketReader() { Close(); }
  SocketReader(const SocketReader&) = delete;
  SocketReader& operator=(const SocketReader&) = delete;

  // `on_readable` reads one message and returns false if there was none.
  void Start(OnReadable on_readable) {
    m_on_readable = std::move(on_readable);
    int fd = -1;
    size_t size = sizeof(fd);
    zmq_getsockopt(m_socket, ZMQ_FD, &fd, &size);
    m_descriptor.assign(fd);
    Wait();
    ScheduleDrain();
  }

  void Close() {
    if (m_socket == nullptr) return;
    // The descriptor belongs to ZeroMQ.
    if (m_descriptor.is_open()) m_descriptor.release();
    zmq_close(m_socket);
    m_socket = nullptr;
    m_on_readable = nullptr;
  }

  void ScheduleDrain() {
    if (m_is_scheduled || m_socket == nullptr) return;
    m_is_scheduled = true;
    asio::post(m_context, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Drain();
    });
  }

  void* GetSocket() const { return m_socket; }

 private:
  void Wait() {
    m_descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                            [weak = weak_from_this()](const boost::system::error_code& error) {
                              const auto self = weak.lock();
                              if (error || self == nullptr || self->m_socket == nullptr) return;
                              self->Wait();
                              self->ScheduleDrain();
                            });
  }

  void Drain() {
    m_is_scheduled = false;
    const auto self = shared_from_this();
    for (int i = 0; i < kMaxMessagesPerDrain; ++i) {
      if (m_socket == nullptr || !HasInput()) return;
      if (!m_on_readable(m_socket)) return;
    }
    ScheduleDrain();
  }

  bool HasInput() const {
    int events = 0;
    size_t size = sizeof(events);
    zmq_getsockopt(m_socket, ZMQ_EVENTS, &events, &size);
    return (events & ZMQ_POLLIN) != 0;
  }

  asio::io_context& m_context;
  void* m_socket;
  asio::posix::stream_descriptor m_descriptor;
  OnReadable m_on_readable;
  bool m_is_scheduled = false;
};

// Discards the remaining frames of a message that has more than expected.
void DiscardRemainingFrames(void* socket, bool has_more) {
  while (has_more) {
    Frame frame;
    if (!frame.Receive(socket)) return;
    has_more = frame.HasMore();
  }
}

}  // namespace

ChannelContext::ChannelContext() : m_handle(zmq_ctx_new()) {
  // The default of 1023 is too low for a large zone, which needs one socket for each endpoint.
  zmq_ctx_set(m_handle, ZMQ_MAX_SOCKETS, 8192);
}

ChannelContext::~ChannelContext() { zmq_ctx_term(m_handle); }

struct ServerChannel::Impl {
  std::shared_ptr<SocketReader> reader;
  OnMessage on_message;

  bool ReadMessage(void* socket) {
    Frame from;
    if (!from.Receive(socket)) return false;
    if (!from.HasMore()) return true;
    Frame body;
    if (!body.Receive(socket)) return false;
    DiscardRemainingFrames(socket, body.HasMore());
    on_message(ConnectionId(std::string(from.GetView())), body.GetView());
    return true;
  }
};

ServerChannel::ServerChannel(Loop& loop, ChannelContext& context, ChannelOptions options, OnMessage on_message)
    : m_impl(std::make_shared<Impl>()) {
  void* socket = zmq_socket(context.GetHandle(), ZMQ_ROUTER);
  SetCommonOptions(socket, options);
  SetOption(socket, ZMQ_ROUTER_MANDATORY, 1);
  m_impl->reader = std::make_shared<SocketReader>(loop.GetImpl().context, socket);
  m_impl->on_message = std::move(on_message);
}

ServerChannel::~ServerChannel() { m_impl->reader->Close(); }

absl::Status ServerChannel::Start(const IpAddress& address, Port port) {
  const std::string url = MakeUrl({address, port});
  if (zmq_bind(m_impl->reader->GetSocket(), url.c_str()) != 0) {
    return MakeFailure(FailureCode::kAddressInUse, url + ": " + zmq_strerror(zmq_errno()));
  }
  m_impl->reader->Start([impl = m_impl.get()](void* socket) { return impl->ReadMessage(socket); });
  return absl::OkStatus();
}

bool ServerChannel::Send(const ConnectionId& to, std::string_view message) {
  void* socket = m_impl->reader->GetSocket();
  const std::string& id = to.Get();
  if (zmq_send(socket, id.data(), id.size(), ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0) return false;
  const bool is_sent = zmq_send(socket, message.data(), message.size(), ZMQ_DONTWAIT) >= 0;
  m_impl->reader->ScheduleDrain();
  return is_sent;
}

bool ServerChannel::SendOwned(const ConnectionId& to, std::string message) {
  void* socket = m_impl->reader->GetSocket();
  const std::string& id = to.Get();
  if (zmq_send(socket, id.data(), id.size(), ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0) return false;
  auto owned = std::make_unique<std::string>(std::move(message));
  zmq_msg_t frame;
  const auto free_frame = [](void*, void* hint) { delete static_cast<std::string*>(hint); };
  zmq_msg_init_data(&frame, owned->data(), owned->size(), free_frame, owned.get());
  owned.release();
  const bool is_sent = zmq_msg_send(&frame, socket, ZMQ_DONTWAIT) >= 0;
  if (!is_sent) zmq_msg_close(&frame);
  m_impl->reader->ScheduleDrain();
  return is_sent;
}

struct ClientChannel::Impl {
  std::shared_ptr<SocketReader> reader;
  OnMessage on_message;

  bool ReadMessage(void* socket) {
    Frame body;
    if (!body.Receive(socket)) return false;
    DiscardRemainingFrames(socket, body.HasMore());
    on_message(body.GetView());
    return true;
  }
};

ClientChannel::ClientChannel(Loop& loop, ChannelContext& context, const HttpTarget& target, ChannelOptions options,
                             OnMessage on_message)
    : m_impl(std::make_shared<Impl>()) {
  void* socket = zmq_socket(context.GetHandle(), ZMQ_DEALER);
  SetCommonOptions(socket, options);
  // Queue to complete connections only, so that a failed Send means that nothing was sent.
  SetOption(socket, ZMQ_IMMEDIATE, 1);
  SetOption(socket, ZMQ_RECONNECT_IVL, kReconnectMs);
  SetOption(socket, ZMQ_RECONNECT_IVL_MAX, kReconnectMaxMs);
  m_impl->on_message = std::move(on_message);
  m_impl->reader = std::make_shared<SocketReader>(loop.GetImpl().context, socket);
  zmq_connect(socket, MakeUrl(target).c_str());
  m_impl->reader->Start([impl = m_impl.get()](void* s) { return impl->ReadMessage(s); });
}

ClientChannel::~ClientChannel() { m_impl->reader->Close(); }

bool ClientChannel::Send(std::string_view message) {
  const bool is_sent = zmq_send(m_impl->reader->GetSocket(), message.data(), message.size(), ZMQ_DONTWAIT) >= 0;
  m_impl->reader->ScheduleDrain();
  return is_sent;
}

}  // namespace plantain

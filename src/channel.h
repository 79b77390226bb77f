// ZeroMQ sockets on a Loop: a server side (ROUTER) and a client side (DEALER). Messages are byte strings.

#ifndef PLANTAIN_CHANNEL_H_
#define PLANTAIN_CHANNEL_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "core_type.h"
#include "http_type.h"
#include "loop.h"

namespace plantain {

// The ZeroMQ context of a process. Must outlive all channels.
class ChannelContext {
 public:
  ChannelContext();
  ~ChannelContext();
  ChannelContext(const ChannelContext&) = delete;
  ChannelContext& operator=(const ChannelContext&) = delete;

  void* GetHandle() const { return m_handle; }

 private:
  void* m_handle;
};

// Limits of a channel.
struct ChannelOptions {
  // Largest message accepted. A larger one closes its connection.
  size_t max_message_bytes = 4 * 1024 * 1024;
  // Messages queued in each direction for one connection before Send fails.
  int queue_messages = 10'000;
  // Interval of the heartbeats that detect stalled links; 0 disables them. Heartbeats from one end are enough.
  Duration probe_period = std::chrono::seconds(1);
  // Time without traffic or heartbeat after which a connection counts as lost.
  Duration silence_timeout = std::chrono::seconds(3);
  // Longest time for which messages that were queued are still sent after the channel has been destroyed.
  Duration linger{};
};

// Identifies one connection of a server channel. Valid until the connection is lost; a reconnection gets a new ID.
using ConnectionId = StrongString<struct ConnectionIdTag>;

// Accepts connections and replies on them. Must only be used on the loop's thread.
class ServerChannel {
 public:
  using OnMessage = std::function<void(const ConnectionId& from, std::string_view message)>;

  ServerChannel(Loop& loop, ChannelContext& context, ChannelOptions options, OnMessage on_message);
  ~ServerChannel();

  // Binds and starts to receive.
  absl::Status Start(const IpAddress& address, Port port);

  // Queues a message. Returns false if the connection is gone or its queue is full.
  bool Send(const ConnectionId& to, std::string_view message);

  // As Send, for large messages: takes ownership of the bytes instead of copying them.
  bool SendOwned(const ConnectionId& to, std::string message);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

// Connects to one server channel and reconnects when the connection is lost. Must only be used on the loop's thread.
class ClientChannel {
 public:
  using OnMessage = std::function<void(std::string_view message)>;

  ClientChannel(Loop& loop, ChannelContext& context, const HttpTarget& target, ChannelOptions options,
                OnMessage on_message);
  ~ClientChannel();

  // Queues a message. Returns false if there is no connection or its queue is full. The message is then guaranteed not
  // to have been sent.
  bool Send(std::string_view message);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace plantain

#endif  // PLANTAIN_CHANNEL_H_

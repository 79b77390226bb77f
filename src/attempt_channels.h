// ZeroMQ connections from one traffic loop to all agents, kept in sync with the membership view.

#ifndef PLANTAIN_ATTEMPT_CHANNELS_H_
#define PLANTAIN_ATTEMPT_CHANNELS_H_

#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "attempt_client.h"
#include "channel.h"
#include "loop.h"

namespace plantain {

// Maintains one client channel per endpoint. Must only be used on its traffic loop.
class AttemptChannels : public AttemptTransport {
 public:
  using OnMessage = std::function<void(const VmId& from, std::string_view message)>;
  using OnChanged = std::function<void(const VmId& vm)>;

  AttemptChannels(Loop& loop, ChannelContext& context, Port port, ChannelOptions options, OnMessage on_message,
                  OnChanged on_gone, OnChanged on_suspect);

  // Opens a channel to each new endpoint and closes the channels of endpoints that were removed or changed address.
  // Reports those, and endpoints that restarted, as gone, since they will not answer earlier attempts.
  void SetEndpoints(const std::map<VmId, EndpointContact>& endpoints);

  bool Send(const VmId& to, std::string_view message) override;

 private:
  void Open(const VmId& vm, const EndpointContact& contact);

  Loop& m_loop;
  ChannelContext& m_context;
  const Port m_port;
  const ChannelOptions m_options;
  const OnMessage m_on_message;
  const OnChanged m_on_gone;
  const OnChanged m_on_suspect;
  std::map<VmId, EndpointContact> m_contacts;
  // One for each contact.
  std::map<VmId, std::unique_ptr<ClientChannel>> m_channels;
};

}  // namespace plantain

#endif  // PLANTAIN_ATTEMPT_CHANNELS_H_

#include "attempt_channels.h"

#include <utility>
#include <vector>

namespace plantain {

AttemptChannels::AttemptChannels(Loop& loop, ChannelContext& context, Port port, OnMessage on_message, OnGone on_gone)
    : m_loop(loop),
      m_context(context),
      m_port(port),
      m_on_message(std::move(on_message)),
      m_on_gone(std::move(on_gone)) {}

void AttemptChannels::SetEndpoints(const std::map<VmId, EndpointContact>& endpoints) {
  std::vector<VmId> closed;
  std::vector<VmId> gone;
  for (auto& [vm, connection] : m_connections) {
    const auto wanted = endpoints.find(vm);
    if (wanted == endpoints.end() || wanted->second.address != connection.contact.address) {
      closed.push_back(vm);
      gone.push_back(vm);
      continue;
    }
    const EndpointContact& contact = wanted->second;
    const bool is_newly_suspect = contact.is_suspect && !connection.contact.is_suspect;
    if (is_newly_suspect || contact.incarnation != connection.contact.incarnation) gone.push_back(vm);
    connection.contact = contact;
  }
  for (const VmId& vm : closed) m_connections.erase(vm);
  for (const auto& [vm, contact] : endpoints) {
    if (m_connections.count(vm) == 0) Open(vm, contact);
  }
  // Runs last, because the callback may immediately retry a lost attempt on another endpoint.
  for (const VmId& vm : gone) m_on_gone(vm);
}

void AttemptChannels::Open(const VmId& vm, const EndpointContact& contact) {
  auto channel =
      std::make_unique<ClientChannel>(m_loop, m_context, HttpTarget{contact.address, m_port}, ChannelOptions{},
                                      [this, vm](std::string_view message) { m_on_message(vm, message); });
  m_connections[vm] = {contact, std::move(channel)};
}

bool AttemptChannels::Send(const VmId& to, std::string_view message) {
  const auto found = m_connections.find(to);
  return found != m_connections.end() && found->second.channel->Send(message);
}

}  // namespace plantain

#include "attempt_channels.h"

#include <utility>

namespace plantain {

AttemptChannels::AttemptChannels(Loop& loop, ChannelContext& context, Port port, ChannelOptions options,
                                 OnMessage on_message, OnChanged on_gone, OnChanged on_suspect)
    : m_loop(loop),
      m_context(context),
      m_port(port),
      m_options(options),
      m_on_message(std::move(on_message)),
      m_on_gone(std::move(on_gone)),
      m_on_suspect(std::move(on_suspect)) {}

void AttemptChannels::SetEndpoints(const std::map<VmId, EndpointContact>& endpoints) {
  const EndpointChanges changes = FindEndpointChanges(m_contacts, endpoints);
  m_contacts = endpoints;
  for (const VmId& vm : changes.unreachable) m_channels.erase(vm);
  for (const auto& [vm, contact] : endpoints) {
    if (!m_channels.contains(vm)) Open(vm, contact);
  }
  // Runs last, because the callbacks may immediately send an attempt to another endpoint.
  for (const VmId& vm : changes.unreachable) m_on_gone(vm);
  for (const VmId& vm : changes.restarted) m_on_gone(vm);
  for (const VmId& vm : changes.suspect) m_on_suspect(vm);
}

void AttemptChannels::Open(const VmId& vm, const EndpointContact& contact) {
  m_channels[vm] = std::make_unique<ClientChannel>(m_loop, m_context, HttpTarget{contact.address, m_port}, m_options,
                                                   [this, vm](std::string_view message) { m_on_message(vm, message); });
}

bool AttemptChannels::Send(const VmId& to, std::string_view message) {
  const auto found = m_channels.find(to);
  return found != m_channels.end() && found->second->Send(message);
}

}  // namespace plantain

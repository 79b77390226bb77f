// Transport of the peer exchange over ZeroMQ: one server socket, and a client connection to each peer of the plan.

#ifndef PLANTAIN_PEER_SERVICE_H_
#define PLANTAIN_PEER_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "channel.h"
#include "clock.h"
#include "kernel.h"
#include "loop.h"
#include "member_service.h"
#include "metrics.h"
#include "peer_exchange.h"
#include "random.h"

namespace plantain {

struct PeerServiceOptions {
  PeerExchangeOptions self;
  IpAddress address;
  Port port;
  std::vector<std::string> seeds;
  Duration period{};
  Duration suspect{};
  Duration dead{};
};

// Runs on the control thread.
class PeerService : public Service, private PeerTransport {
 public:
  PeerService(Loop& loop, ChannelContext& channels, const Clock& clock, Random& random, Metrics& metrics,
              ConfigSource& config, ConfigExchange& exchange, MemberService& members, const SelfSource& self,
              PeerServiceOptions options);

  absl::Status Start() override;
  void Stop() override;

 private:
  // Connections to one peer.
  struct Link {
    // Connection opened by this process, for a peer of the plan or a seed, and its remote address.
    std::unique_ptr<ClientChannel> channel;
    IpAddress address;
    bool is_seed = false;
    bool is_planned = false;
    // Connection opened by the peer.
    std::optional<ConnectionId> connection;
    // Whether the peer's connection was tried first for the last message; alternates with every message.
    bool is_connection_first = false;
    TimePoint last_message_at{};
  };

  bool SendTo(const VmId& peer, const std::string& data) override;
  static bool SendOnChannel(Link& link, const std::string& data);
  bool SendOnConnection(Link& link, const std::string& data);
  void OnMessageRejected(const char* reason) override;
  void OnNewMember() override;

  void ScheduleRound();
  void RunRound();
  void UpdatePlan();
  void ApplyPlan(const MemberView& view);
  void OpenSeeds();
  void OpenLink(const VmId& key, const IpAddress& address);
  void CloseUnneeded(const std::map<VmId, IpAddress>& wanted);
  void DropInactiveLinks();
  void CheckOwnState();
  void SendConfigRefs();
  void OnServerMessage(const ConnectionId& from, std::string_view data);
  void OnLinkMessage(const std::shared_ptr<VmId>& key, std::string_view data);
  bool AssignLink(const std::shared_ptr<VmId>& key, const VmId& sender);

  Loop& m_loop;
  ChannelContext& m_channels;
  const Clock& m_clock;
  Random& m_random;
  Metrics& m_metrics;
  MemberService& m_members;
  const SelfSource& m_self;
  const PeerServiceOptions m_options;
  prometheus::Counter& m_sent_bytes;
  prometheus::Counter& m_received_bytes;
  prometheus::Gauge& m_link_gauge;

  PeerExchange m_exchange;
  std::unique_ptr<ServerChannel> m_server;
  // Keyed by VM id; a seed that has not replied yet is keyed by MakeSeedKey of its address.
  std::map<VmId, Link> m_links;
  PeerPlan m_plan;
  uint64_t m_planned_generation = 0;
  TimePoint m_planned_at{};
  uint64_t m_rounds = 0;
  std::unique_ptr<Timer> m_round_timer;
  std::unique_ptr<Timer> m_self_timer;
};

}  // namespace plantain

#endif  // PLANTAIN_PEER_SERVICE_H_

// Gossip protocol between processes: heartbeats, relayed member changes, zone summaries and the configuration. Contains
// the protocol logic only; PeerTransport performs the I/O.

#ifndef PLANTAIN_PEER_EXCHANGE_H_
#define PLANTAIN_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "config_exchange.h"
#include "config_type.h"
#include "member_table.h"
#include "peer_plan.h"
#include "zone_summary.h"

namespace plantain::proto {
class ConfigOffer;
class PeerMessage;
class PeerSync;
}  // namespace plantain::proto

namespace plantain {

// Sends messages to peers and receives notifications from the exchange.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Queues a message; false if there is no connection to the peer.
  virtual bool SendTo(const VmId& peer, const std::string& data) = 0;

  // Called when a message or a part of it was rejected.
  virtual void OnMessageRejected(const char* reason) = 0;

  // Called on the first message from a member whose address is not known.
  virtual void OnNewMember() = 0;
};

struct PeerExchangeOptions {
  VmId vm;
  ZoneName zone;
  Incarnation incarnation;
  MemberKind kind = MemberKind::kUnknown;
  PoolName pool;
  ServiceName service;
};

// Token bucket, in bytes, for relayed changes to one peer. The balance may become negative because items are not
// split.
class RelayTokenBucket {
 public:
  // Adds the tokens accrued since the last call; the first call fills the bucket. `rate` is in bytes per second.
  void Refill(TimePoint now, double rate, double burst);

  bool HasTokens() const { return m_tokens > 0; }
  void Consume(size_t bytes) { m_tokens -= static_cast<double>(bytes); }

 private:
  double m_tokens = 0;
  TimePoint m_refilled_at{};
  bool m_is_new = true;
};

// Peer exchange of one process. Not thread-safe.
class PeerExchange {
 public:
  PeerExchange(const Clock& clock, MemberTable& table, ConfigSource& config, ConfigExchange& exchange,
               PeerTransport& transport, PeerExchangeOptions options);
  ~PeerExchange();

  // Sets the peer plan, which limits the rate and scope of relayed changes.
  void SetPlan(const PeerPlan& plan) { m_plan = plan; }

  // Sets the own state that the next messages contain.
  void UpdateSelf(const SelfState& self);

  // Returns whether the state must be sent immediately because routing depends on what changed.
  bool IsUrgent(const SelfState& self) const;

  // Updates the summary of the own zone for other zones if it is due.
  void UpdateOwnSummary(const MemberView& view);

  // Processes a received message. `admit` returns whether the sender is valid for the connection of the message.
  void HandleMessage(std::string_view data, const std::function<bool(const VmId& sender)>& accept_sender);

  // Sends the periodic message to a peer. Queries about silent members are included if `asks_questions` is true.
  void SendSync(const VmId& vm, bool asks_questions);

  // Sends the changes that have not been sent to the peer yet, as far as its relay allowance permits.
  void SendChanges(const VmId& vm);

  // Sends a reference to the active configuration document to a peer that has an older version.
  void SendConfigRef(const VmId& vm);

  // Removes the state of a peer that is no longer connected.
  void RemovePeer(const VmId& vm) { m_peers.erase(vm); }

 private:
  struct Peer {
    VmId vm;
    Incarnation incarnation;
    // Number of the last change and summary sent to the peer, and the hash of the own detail sent last.
    uint64_t sent_change = 0;
    TimePoint changes_sent_at{};
    // Last change received from the peer without a gap.
    uint64_t received_change = 0;
    uint64_t sent_summary = 0;
    uint32_t sent_detail_hash = 0;
    // Highest configuration version that the peer has reported.
    ConfigVersion version;
    TimePoint last_offer{};
    TimePoint last_full_offer{};
    RelayTokenBucket relay_bucket;
  };

  std::unique_ptr<proto::PeerMessage> Decode(std::string_view data);
  Peer* ValidateSender(const proto::PeerMessage& message);
  Peer& GetPeer(const VmId& vm);
  void HandleSync(Peer& peer, const proto::PeerSync& sync);
  void HandleHeartbeats(Peer& peer, const proto::PeerSync& sync, proto::PeerSync& answer);
  void HandleHeartbeat(Peer& peer, const MemberHeartbeat& heartbeat, proto::PeerSync& answer);
  void AnswerQuestion(const MemberHeartbeat& question, proto::PeerSync& answer);
  void UpdateChangeNumbers(Peer& peer, const proto::PeerSync& sync);
  void HandleSummaries(const proto::PeerSync& sync);
  void HandleConfig(Peer& peer, const proto::PeerSync& sync, proto::PeerSync& answer);
  void RequestDocument(Peer& peer, proto::PeerSync& answer);
  void HandleOffer(const proto::ConfigOffer& offer, proto::PeerSync& answer);
  void AddOffer(Peer& peer, bool wants_full_document, proto::PeerSync& answer);
  void AddOwnHeartbeat(const Peer& peer, bool is_full, proto::PeerSync& sync);
  void AddConfigRef(proto::PeerSync& sync) const;
  void AddChanges(Peer& peer, proto::PeerSync& sync);
  void AddSummaries(Peer& peer, proto::PeerSync& sync);
  bool Send(Peer& peer, const proto::PeerSync& sync);
  void NextSequence();
  bool IsInRelayScope(const Peer& peer) const;
  bool IsSameKind(const Peer& peer) const;
  ConfigVersion GetOwnVersion() const;

  const Clock& m_clock;
  MemberTable& m_table;
  ConfigSource& m_config;
  ConfigExchange& m_exchange;
  PeerTransport& m_transport;
  const PeerExchangeOptions m_options;
  PeerPlan m_plan;
  std::map<VmId, Peer> m_peers;
  MemberHeartbeat m_heartbeat;
  // Version requested and when, so that one document is not requested from several peers at once.
  ConfigVersion m_requested_version;
  TimePoint m_requested_at{};
  // Highest version reported by any peer and when it was first reported.
  ConfigVersion m_highest_version;
  TimePoint m_highest_version_at{};
  ZoneSummaries m_summaries;
  TimePoint m_summarized_at{};
};

}  // namespace plantain

#endif  // PLANTAIN_PEER_EXCHANGE_H_

// Simulates a fleet of peer exchanges on a virtual clock, with a network that loses, duplicates and delays messages.

#ifndef PLANTAIN_TESTS_PEER_SIMULATION_H_
#define PLANTAIN_TESTS_PEER_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "active_config.h"
#include "clock.h"
#include "config_records.h"
#include "peer_exchange.h"
#include "random.h"

namespace plantain {

// Configuration source of one simulated process; it has no log.
class SimConfig : public ConfigSource, public ConfigExchange {
 public:
  SimConfig() : m_active_config("key") {}

  std::shared_ptr<const ConfigView> GetConfig() const override { return m_active_config.GetView(); }
  void AddConfigListener(std::function<void(const std::shared_ptr<const ConfigView>&)> listener) override {
    m_listeners.push_back(std::move(listener));
  }
  bool IsLogReachable() const override { return false; }
  std::optional<ConfigRefInfo> GetConfigRef() const override { return m_active_config.GetRef(); }
  std::string_view FindConfigText(ConfigVersion version) const override { return m_active_config.FindText(version); }
  void RecordPeerContact() override {}
  absl::Status AdoptConfigOffer(const ConfigRefInfo& ref, std::string_view text) override {
    const ConfigVersion before = m_active_config.GetVersion();
    absl::Status status = m_active_config.AdoptOffer(ref, text);
    if (m_active_config.GetVersion() < before) m_has_reverted = true;
    if (m_active_config.GetVersion() > before) NotifyListeners();
    return status;
  }

  // Adopts a document as if it had been built from the log records.
  void AdoptDocument(const std::shared_ptr<const ConfigView>& view) {
    if (m_active_config.AdoptFolded(view)) NotifyListeners();
  }
  ConfigVersion GetVersion() const { return m_active_config.GetVersion(); }
  bool HasReverted() const { return m_has_reverted; }

 private:
  void NotifyListeners() {
    for (const auto& listener : m_listeners) listener(m_active_config.GetView());
  }

  ActiveConfig m_active_config;
  std::vector<std::function<void(const std::shared_ptr<const ConfigView>&)>> m_listeners;
  bool m_has_reverted = false;
};

struct SimNetwork {
  double loss = 0;
  double duplication = 0;
  Duration max_delay = std::chrono::milliseconds(20);
  // Pairs (from, to) between which all messages are lost.
  std::set<std::pair<VmId, VmId>> blocked;
};

class Simulation;

// One simulated process. Stands in for PeerService, with the simulated network as its transport.
class SimNode : public PeerTransport {
 public:
  SimNode(Simulation& simulation, VmListRow row, Incarnation incarnation);

  bool SendTo(const VmId& peer, const std::string& data) override;
  void OnMessageRejected(const char* reason) override { ++rejected[reason]; }
  void OnNewMember() override {}

  void Step(bool checks_timeouts);
  void CountAlarms();
  void Receive(const VmId& from, const std::string& data);
  MemberState GetState(const VmId& vm);
  const VmId& GetVm() const { return m_row.vm; }

  SelfState self;
  SimConfig config;
  bool is_up = true;
  std::map<std::string, int> rejected;
  // Number of times that a member was seen as suspect or dead, counted at each check.
  int alarms = 0;

 private:
  void RunRound();

  Simulation& m_simulation;
  const VmListRow m_row;
  MemberTable m_table;
  std::unique_ptr<PeerExchange> m_exchange;
  PeerPlan m_plan;
  std::set<VmId> m_planned;
  std::set<VmId> m_connected;
  TimePoint m_next_round{};
  TimePoint m_next_plan{};
  uint64_t m_rounds = 0;

  friend class Simulation;
};

class Simulation {
 public:
  Simulation(int entries, int agents, uint64_t seed, int zones = 2);

  // Advances the virtual clock by `time` in steps of 10 ms.
  void Run(Duration time);

  void Post(const VmId& from, const VmId& to, const std::string& data);

  // Replaces a process by one with a new incarnation on the same VM.
  void Restart(const VmId& vm);

  SimNode& GetNode(const VmId& vm) { return *nodes.at(vm); }
  std::vector<VmId> GetVms(MemberKind kind) const;

  VirtualClock clock;
  SeededRandom random;
  SimNetwork network;
  std::vector<VmListRow> vm_list;
  std::map<VmId, std::unique_ptr<SimNode>> nodes;
  size_t bytes = 0;

 private:
  struct Message {
    VmId from;
    VmId to;
    std::string data;
  };

  std::multimap<TimePoint, Message> m_in_flight;
  uint64_t m_steps = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_PEER_SIMULATION_H_

#include "exchange_sim.h"

#include <algorithm>
#include <optional>

#include "manifest_func.h"

namespace plantain::standin {
namespace {

constexpr Duration kTickInterval = Milliseconds(25);
constexpr Duration kDeltaDelay = Milliseconds(5);
constexpr Duration kBurst = Milliseconds(20);
constexpr size_t kMaxQueuedPerPeer = 8;
constexpr size_t kMaxQueued = 24;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// A link that transmits one item at a time.
struct SerialLink {
  double rate = 0;
  TimePoint free_at;

  // Returns the time at which an item that is ready at `from` has been transmitted.
  TimePoint Transmit(uint32_t size, TimePoint from) {
    free_at = std::max(free_at, from) + FromSeconds(size / rate);
    return free_at;
  }
};

struct SimVm {
  WeightPeer peer;
  size_t zone = 0;
  std::unique_ptr<SeededRandom> random;
  std::unique_ptr<ChunkPlan> plan;
  std::unique_ptr<TokenBucket> download_bucket;
  std::unique_ptr<TokenBucket> upload_bucket;
  SerialLink downlink;
  UploadQueue queue{kMaxQueuedPerPeer, kMaxQueued};
  // VMs that use this one as a source.
  std::vector<size_t> subscribers;
  std::vector<uint32_t> new_chunks;
  std::map<uint64_t, Fetch> fetches;
  std::vector<bool> has_chunk;
  size_t count = 0;
  bool has_failed = false;
  bool is_stalled = false;
  bool is_fetch_timer_set = false;
  bool is_upload_timer_set = false;
};

class ExchangeSim {
 public:
  explicit ExchangeSim(const ExchangeSimOptions& options) : m_options(options), m_random(options.seed) {
    CreateManifest();
    MakeVms();
  }

  ExchangeSimResult Run() {
    const TimePoint start = m_clock.GetNow();
    m_result.ideal_seconds = GetIdealSeconds();
    ScheduleAfter(FromSeconds(m_result.ideal_seconds / 2), [this] { InjectFaults(); });
    for (size_t i = 0; i < m_vms.size(); ++i) Tick(i);
    while (!m_events.empty() && !IsFinished() && ToSeconds(m_clock.GetNow() - start) < m_options.limit_s) {
      const Event event = m_events.top();
      m_events.pop();
      m_clock.Advance(event.time - m_clock.GetNow());
      event.run();
    }
    if (IsFinished()) m_result.seconds = ToSeconds(m_clock.GetNow() - start);
    const double bytes = GetBytes();
    m_result.origin_copies = m_origin_bytes / bytes;
    m_result.shared_copies = m_shared_bytes / bytes;
    m_result.wasted_copies = m_wasted_bytes / bytes / static_cast<double>(m_vms.size());
    for (const SimVm& vm : m_vms) {
      m_result.alive += vm.has_failed ? 0 : 1;
      m_result.finished += !vm.has_failed && vm.count == m_options.chunks ? 1 : 0;
      m_result.max_sources = std::max(m_result.max_sources, vm.plan->GetSources().size());
    }
    return m_result;
  }

 private:
  struct Event {
    TimePoint time;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const { return std::tie(other.time, other.order) < std::tie(time, order); }
  };

  double GetBytes() const { return static_cast<double>(m_options.chunks) * m_options.chunk_bytes; }

  double GetIdealSeconds() const {
    const double bytes = GetBytes();
    const auto n = static_cast<double>(m_options.vms);
    const double all = n * bytes / (m_options.origin_rate + n * m_options.machine_rate);
    double ideal = std::max({bytes / m_options.machine_rate, bytes / m_options.origin_rate, all});
    if (m_options.zones > 1) {
      ideal = std::max(ideal, static_cast<double>(m_options.zones - 1) * bytes / m_options.shared_rate);
    }
    return ideal;
  }

  void ScheduleAfter(Duration delay, std::function<void()> run) {
    m_events.push({m_clock.GetNow() + delay, m_next_order++, std::move(run)});
  }
  void ScheduleAt(TimePoint time, std::function<void()> run) { m_events.push({time, m_next_order++, std::move(run)}); }

  void CreateManifest() {
    auto manifest = std::make_shared<Manifest>();
    manifest->digest = ComputeDigest("manifest " + std::to_string(m_options.seed));
    for (size_t i = 0; i < m_options.chunks; ++i) {
      const Digest digest = ComputeDigest("chunk " + std::to_string(i) + " " + std::to_string(m_options.seed));
      manifest->chunks.push_back({digest, m_options.chunk_bytes});
      m_index[digest] = static_cast<uint32_t>(i);
    }
    m_manifest = manifest;
  }

  void MakeVms() {
    std::vector<WeightPeer> peers;
    m_vms.resize(m_options.vms);
    for (size_t i = 0; i < m_vms.size(); ++i) {
      const size_t zone = i % m_options.zones;
      m_vms[i].zone = zone;
      m_vms[i].peer = {VmId("vm-" + std::to_string(i)), ZoneName("zone-" + std::to_string(zone)), IpAddress("-")};
      peers.push_back(m_vms[i].peer);
      m_vm_index[m_vms[i].peer.vm] = i;
    }
    m_shared.assign(m_options.zones, SerialLink{m_options.shared_rate, m_clock.GetNow()});
    m_origin = {m_options.origin_rate, m_clock.GetNow()};
    const BytesPerSecond rate(m_options.machine_rate);
    for (SimVm& vm : m_vms) {
      ChunkPlanOptions plan = m_options.plan;
      plan.self = vm.peer.vm;
      plan.zone = vm.peer.zone;
      plan.hedge_time = m_options.hedge_time;
      vm.random = std::make_unique<SeededRandom>(m_random.GetBits());
      vm.plan = std::make_unique<ChunkPlan>(m_clock, *vm.random, plan);
      vm.download_bucket = std::make_unique<TokenBucket>(rate, kBurst, m_clock.GetNow());
      vm.upload_bucket = std::make_unique<TokenBucket>(rate, kBurst, m_clock.GetNow());
      vm.downlink = {m_options.machine_rate, m_clock.GetNow()};
      vm.has_chunk.assign(m_options.chunks, false);
      vm.plan->SetWants({{m_manifest, m_manifest->digest, peers, ZoneName("zone-0"), true}});
    }
    for (size_t i = 0; i < m_vms.size(); ++i) {
      for (const WeightPeer& peer : m_vms[i].plan->GetSources()) m_vms[m_vm_index[peer.vm]].subscribers.push_back(i);
    }
  }

  void InjectFaults() {
    std::vector<size_t> order;
    for (size_t i = 0; i < m_vms.size(); ++i) order.push_back(i);
    for (size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[m_random.GetBelow(i)]);
    const auto count = [&](double share) { return static_cast<size_t>(share * static_cast<double>(m_vms.size())); };
    for (size_t i = 0; i < count(m_options.killed_share); ++i) m_vms[order[i]].has_failed = true;
    for (size_t i = 0; i < count(m_options.stalled_share); ++i) {
      m_vms[order[m_vms.size() - 1 - i]].is_stalled = true;
    }
  }

  bool IsFinished() const {
    return std::all_of(m_vms.begin(), m_vms.end(),
                       [&](const SimVm& vm) { return vm.has_failed || vm.count == m_options.chunks; });
  }

  bool IsOriginDown() const {
    return m_options.origin_down_s >= 0 &&
           ToSeconds(m_clock.GetNow() - VirtualClock().GetNow()) >= m_options.origin_down_s;
  }

  void Tick(size_t index) {
    SimVm& vm = m_vms[index];
    if (vm.has_failed) return;
    for (const Fetch& fetch : vm.plan->ExpireStalledFetches()) Cancel(vm, fetch);
    StartFetches(index);
    ScheduleAfter(kTickInterval, [this, index] { Tick(index); });
  }

  void StartFetches(size_t index) {
    SimVm& vm = m_vms[index];
    if (vm.is_fetch_timer_set || vm.has_failed) return;
    while (true) {
      const Duration delay = vm.download_bucket->GetDelay(m_clock.GetNow());
      if (delay > Duration::zero()) {
        vm.is_fetch_timer_set = true;
        ScheduleAfter(delay, [this, index] {
          m_vms[index].is_fetch_timer_set = false;
          StartFetches(index);
        });
        return;
      }
      const auto fetch = vm.plan->StartNextFetch({});
      if (!fetch.has_value()) return;
      vm.download_bucket->Take(Bytes(fetch->size), m_clock.GetNow());
      vm.fetches[fetch->id.Get()] = *fetch;
      RequestChunk(index, *fetch);
    }
  }

  void RequestChunk(size_t index, const Fetch& fetch) {
    if (!fetch.peer.has_value()) {
      ScheduleAfter(m_options.delay, [this, index, fetch] { SendFromOrigin(index, fetch); });
      return;
    }
    const size_t source = m_vm_index[*fetch.peer];
    ScheduleAfter(m_options.delay, [this, index, source, fetch] { Enqueue(source, index, fetch); });
  }

  void SendFromOrigin(size_t index, const Fetch& fetch) {
    if (IsOriginDown()) {
      m_vms[index].fetches.erase(fetch.id.Get());
      m_vms[index].plan->OnFailed(fetch.id, FetchFailure::kLost);
      return;
    }
    m_origin_bytes += fetch.size;
    const TimePoint sent = m_origin.Transmit(fetch.size, m_clock.GetNow());
    ScheduleArrival(index, fetch,
                    m_vms[index].downlink.Transmit(fetch.size, sent - FromSeconds(fetch.size / m_options.machine_rate)),
                    false);
  }

  void Enqueue(size_t source, size_t index, const Fetch& fetch) {
    SimVm& vm = m_vms[source];
    if (vm.has_failed || vm.is_stalled) return;
    UploadRequest request;
    request.connection = std::to_string(index);
    request.id = fetch.id.Get();
    request.chunk = fetch.chunk;
    request.size = fetch.size;
    request.is_urgent = true;
    request.is_cross_zone = fetch.is_cross_zone;
    if (!vm.has_chunk[m_index[fetch.chunk]] || !vm.queue.Add(request)) {
      ScheduleAfter(m_options.delay, [this, index, fetch] {
        SimVm& receiver = m_vms[index];
        if (receiver.fetches.erase(fetch.id.Get()) == 0) return;
        receiver.download_bucket->Refund(Bytes(fetch.size));
        receiver.plan->OnFailed(fetch.id, FetchFailure::kBusy);
        StartFetches(index);
      });
      return;
    }
    StartUploads(source);
  }

  void StartUploads(size_t index) {
    SimVm& vm = m_vms[index];
    if (vm.is_upload_timer_set || vm.has_failed || vm.is_stalled || vm.queue.IsEmpty()) return;
    const Duration delay = vm.upload_bucket->GetDelay(m_clock.GetNow());
    if (delay > Duration::zero()) {
      vm.is_upload_timer_set = true;
      ScheduleAfter(delay, [this, index] {
        m_vms[index].is_upload_timer_set = false;
        StartUploads(index);
      });
      return;
    }
    const auto request = vm.queue.Take(true);
    vm.upload_bucket->Take(Bytes(request->size), m_clock.GetNow());
    SendChunk(index, static_cast<size_t>(std::stoul(request->connection)), *request);
    StartUploads(index);
  }

  void SendChunk(size_t source, size_t index, const UploadRequest& request) {
    SimVm& receiver = m_vms[index];
    // The transmission takes as long as the sender's token bucket stays empty.
    TimePoint sent = m_clock.GetNow() + FromSeconds(request.size / m_options.machine_rate);
    if (request.is_cross_zone) {
      m_shared_bytes += request.size;
      sent = std::max(sent, m_shared[m_vms[source].zone].Transmit(request.size, m_clock.GetNow()));
    }
    Fetch fetch;
    fetch.id = FetchId(request.id);
    fetch.chunk = request.chunk;
    fetch.size = request.size;
    fetch.peer = m_vms[source].peer.vm;
    const TimePoint starts_at = sent - FromSeconds(request.size / m_options.machine_rate);
    ScheduleArrival(index, fetch, receiver.downlink.Transmit(request.size, starts_at),
                    m_random.GetUnit() < m_options.corrupt_share);
  }

  void ScheduleArrival(size_t index, const Fetch& fetch, TimePoint time, bool is_corrupt) {
    ScheduleAt(time + m_options.delay, [this, index, fetch, is_corrupt] {
      SimVm& vm = m_vms[index];
      if (vm.has_failed) return;
      if (vm.fetches.erase(fetch.id.Get()) == 0 || is_corrupt) m_wasted_bytes += fetch.size;
      if (is_corrupt) {
        vm.plan->OnFailed(fetch.id, FetchFailure::kCorrupt);
      } else {
        StoreChunk(index, fetch);
      }
      StartFetches(index);
    });
  }

  void StoreChunk(size_t index, const Fetch& fetch) {
    SimVm& vm = m_vms[index];
    for (const Fetch& other : vm.plan->OnVerified(fetch.id)) Cancel(vm, other);
    const uint32_t chunk = m_index[fetch.chunk];
    if (vm.has_chunk[chunk]) return;
    vm.plan->MarkAvailable(fetch.chunk);
    vm.has_chunk[chunk] = true;
    ++vm.count;
    if (vm.new_chunks.empty()) ScheduleAfter(kDeltaDelay, [this, index] { AnnounceChunks(index); });
    vm.new_chunks.push_back(chunk);
  }

  void AnnounceChunks(size_t index) {
    SimVm& vm = m_vms[index];
    const std::vector<uint32_t> new_chunks = std::exchange(vm.new_chunks, {});
    if (vm.has_failed || vm.is_stalled) return;
    ScheduleAfter(m_options.delay, [this, index, new_chunks] {
      for (const size_t subscriber : m_vms[index].subscribers) {
        if (m_vms[subscriber].has_failed) continue;
        m_vms[subscriber].plan->OnHaveDelta(m_vms[index].peer.vm, m_manifest->digest, new_chunks);
        StartFetches(subscriber);
      }
    });
  }

  void Cancel(SimVm& vm, const Fetch& fetch) {
    vm.fetches.erase(fetch.id.Get());
    if (!fetch.peer.has_value()) return;
    const size_t receiver = m_vm_index[vm.peer.vm];
    const size_t source = m_vm_index[*fetch.peer];
    ScheduleAfter(m_options.delay, [this, source, receiver, fetch] {
      m_vms[source].queue.Cancel(std::to_string(receiver), fetch.id.Get());
    });
  }

  const ExchangeSimOptions m_options;
  VirtualClock m_clock;
  SeededRandom m_random;
  std::priority_queue<Event> m_events;
  uint64_t m_next_order = 0;
  std::shared_ptr<const Manifest> m_manifest;
  std::map<Digest, uint32_t> m_index;
  std::vector<SimVm> m_vms;
  std::map<VmId, size_t> m_vm_index;
  std::vector<SerialLink> m_shared;
  SerialLink m_origin;
  double m_origin_bytes = 0;
  double m_shared_bytes = 0;
  double m_wasted_bytes = 0;
  ExchangeSimResult m_result;
};

}  // namespace

ExchangeSimResult RunExchangeSim(const ExchangeSimOptions& options) { return ExchangeSim(options).Run(); }

}  // namespace plantain::standin

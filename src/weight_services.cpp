#include "weight_services.h"

#include "chunk_memory.h"
#include "engine_client.h"
#include "plain_service.h"
#include "weight_http.h"

namespace plantain {
namespace {

// An engine reads the weights from its staging area before it responds to an order, which is slow for large models.
constexpr Duration kOrderTimeout = std::chrono::minutes(2);
constexpr Duration kOrderRetry = std::chrono::seconds(1);

// Null implementation of chunk transfer for a plain service, which has no weights.
class NullTransfer : public Service {
 public:
  absl::Status Start() override { return absl::OkStatus(); }
  void Stop() override {}
};

HttpTarget GetEngineTarget(const Settings& settings) {
  return {settings.GetAddress("engine.address"), settings.GetPort("engine.port")};
}

TransferOptions MakeTransferOptions(const ProcessParts& parts) {
  const Settings& settings = parts.settings;
  TransferOptions options;
  options.vm = parts.vm;
  options.zone = parts.zone;
  options.address = parts.address;
  options.port = settings.GetPort("transfer.port");
  options.cache = settings.GetBytes("transfer.cache_bytes");
  options.hedge_time = settings.GetDuration("transfer.hedge_ms");
  options.pace.up = settings.GetRate("transfer.up_rate");
  options.pace.down = settings.GetRate("transfer.down_rate");
  options.pace.cross_zone = settings.GetRate("transfer.shared_rate");
  return options;
}

TransferDeps MakePorts(ProcessParts& parts) {
  const Settings& settings = parts.settings;
  const HttpTarget origin{settings.GetAddress("platform.origin_address"), settings.GetPort("platform.origin_port")};
  return {std::make_unique<HttpChunkOrigin>(parts.transfer_loop, parts.answer_memory, origin),
          std::make_unique<HttpStagingArea>(parts.transfer_loop, parts.answer_memory, GetEngineTarget(settings))};
}

WeightControlOptions MakeControlOptions(const ProcessParts& parts) {
  const Settings& settings = parts.settings;
  WeightControlOptions options;
  options.vm = parts.vm;
  options.zone = parts.zone;
  options.pool = PoolName(settings.GetText("vm.pool"));
  options.address = parts.address;
  options.has_exchange = settings.GetFlag("transfer.exchange");
  options.swap.settle = settings.GetDuration("engine.settle_ms");
  options.swap.notice = settings.GetDuration("engine.notice_ms");
  options.swap.retry = kOrderRetry;
  options.swap.incarnation = parts.incarnation;
  return options;
}

void RegisterPlainService(Kernel& kernel, ProcessParts& parts) {
  kernel.Register("engine", [&parts](Kernel&) {
    return std::make_unique<PlainServiceSource>(parts.control_loop, parts.answer_memory,
                                                GetEngineTarget(parts.settings),
                                                parts.settings.GetDuration("engine.poll_ms"));
  });
  kernel.Register("gate",
                  [](Kernel& k) { return std::make_unique<PlainServiceGate>(k.Get<PlainServiceSource>("engine")); });
  kernel.Register("holdings", [](Kernel&) { return std::make_unique<HoldingRegistry>(); });
  kernel.Register("transfer", [](Kernel&) { return std::make_unique<NullTransfer>(); });
}

void RegisterEngine(Kernel& kernel, ProcessParts& parts) {
  kernel.Register("engine", [&parts](Kernel&) {
    EngineClientOptions options;
    options.target = GetEngineTarget(parts.settings);
    options.poll_period = parts.settings.GetDuration("engine.poll_ms");
    options.order_timeout = kOrderTimeout;
    return std::make_unique<EngineClient>(parts.control_loop, parts.answer_memory, options, parts.metrics);
  });
  RegisterWeightControl(
      kernel, parts, MakeTransferOptions(parts), [&parts] { return MakePorts(parts); }, MakeControlOptions(parts),
      "admission");
}

}  // namespace

void RegisterWeightControl(Kernel& kernel, ProcessParts& parts, const TransferOptions& transfer,
                           std::function<TransferDeps()> make_ports, const WeightControlOptions& control,
                           const std::string& admission) {
  kernel.Register("gate", [](Kernel&) { return std::make_unique<EngineGate>(); });
  kernel.Register("holdings", [](Kernel&) { return std::make_unique<HoldingRegistry>(); });
  kernel.Register("transfer", [&parts, transfer, make_ports = std::move(make_ports)](Kernel&) {
    return std::make_unique<TransferService>(transfer, make_ports(), parts.clock, parts.control_loop,
                                             parts.transfer_loop, parts.channels, parts.metrics,
                                             parts.random.GetBits());
  });
  kernel.Register("weights", [&parts, control, admission](Kernel& k) {
    const WeightControlDeps control_deps{parts.clock,
                                         parts.control_loop,
                                         k.Get<ConfigSource>("config"),
                                         k.Get<MemberSource>("members"),
                                         k.Get<AdmissionSource>(admission),
                                         k.Get<EngineControl>("engine"),
                                         k.Get<EngineGate>("gate"),
                                         k.Get<TransferService>("transfer"),
                                         k.Get<HoldingRegistry>("holdings")};
    return std::make_unique<WeightControl>(control, control_deps);
  });
}

void RegisterWeightServices(Kernel& kernel, ProcessParts& parts) {
  if (parts.settings.GetText("engine.kind") == "service") {
    RegisterPlainService(kernel, parts);
  } else {
    ConfigureChunkMemory();
    RegisterEngine(kernel, parts);
  }
}

}  // namespace plantain

// Kernel service of the entry: runs one worker per traffic loop and gives each the current routing table.

#ifndef PLANTAIN_ENTRY_SERVICES_H_
#define PLANTAIN_ENTRY_SERVICES_H_

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "config_type.h"
#include "entry_traffic.h"
#include "kernel.h"
#include "member_type.h"
#include "process.h"
#include "route_table.h"
#include "slo_counter.h"

namespace plantain {

class EntryWorker;

// Owns the workers of all traffic loops. Used on the control thread unless stated otherwise.
//
// For `drain.notice_ms` from the start of a stop new requests are still accepted. Requests in progress have
// `drain.limit_ms` more.
class EntryService : public Service, public Drainable {
 public:
  EntryService(ProcessParts& parts, ConfigSource& config, MemberSource& members);
  ~EntryService() override;
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  absl::Status Start() override;
  void Stop() override;
  void BeginDrain(std::function<void()> done) override;

  // Returns whether draining has begun, from which point /readyz reports not ready. Safe from any thread.
  bool IsDraining() const { return m_is_draining; }

  // Returns the number of requests in progress on all loops. Safe from any thread.
  size_t GetInFlight() const;

 private:
  void PublishTable();

  ProcessParts& m_parts;
  ConfigSource& m_config;
  MemberSource& m_members;
  SloCounter m_slo;
  std::vector<std::shared_ptr<EntryWorker>> m_workers;
  std::atomic<bool> m_is_draining = false;
};

// Registers the service "entry" (EntryService), which depends on "config" (ConfigSource) and "members"
// (MemberSource).
void RegisterEntryServices(Kernel& kernel, ProcessParts& parts);

}  // namespace plantain

#endif  // PLANTAIN_ENTRY_SERVICES_H_

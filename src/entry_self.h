// Status of an entry process, as reported to its peers and on the admin endpoint.

#ifndef PLANTAIN_ENTRY_SELF_H_
#define PLANTAIN_ENTRY_SELF_H_

#include "admin_http.h"
#include "config_type.h"
#include "entry_services.h"
#include "kernel.h"
#include "member_type.h"
#include "process.h"

namespace plantain {

// Reports member state, readiness and the status document. Used on the control thread only.
class EntrySelf : public Service, public SelfSource, public AdminSource {
 public:
  EntrySelf(const ProcessParts& parts, const ConfigSource& config, const MemberSource& members,
            const EntryService& entry);

  absl::Status Start() override { return absl::OkStatus(); }
  void Stop() override {}

  SelfState GetSelfState() const override;
  Readiness GetReadiness() const override;
  std::string GetStatusJson() const override;

 private:
  const ProcessParts& m_parts;
  const ConfigSource& m_config;
  const MemberSource& m_members;
  const EntryService& m_entry;
};

}  // namespace plantain

#endif  // PLANTAIN_ENTRY_SELF_H_

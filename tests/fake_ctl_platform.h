// In-memory CtlPlatform for tests of plantainctl.

#ifndef PLANTAIN_TESTS_FAKE_CTL_PLATFORM_H_
#define PLANTAIN_TESTS_FAKE_CTL_PLATFORM_H_

#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "ctl_type.h"
#include "failure_type.h"

namespace plantain {

// Stores the log in memory and serves admin paths from a table.
class FakeCtlPlatform : public CtlPlatform {
 public:
  absl::StatusOr<std::vector<LogRecord>> ReadConfigRecords() override {
    if (m_is_log_down) return MakeFailure(FailureCode::kLogUnavailable, "log is down");
    return m_records;
  }

  absl::StatusOr<LogOffset> AppendConfigRecord(const std::string& record) override {
    ++m_append_count;
    if (m_is_log_down) return MakeFailure(FailureCode::kConnectFailed, "log is down");
    if (m_before_append != nullptr) {
      const auto before_append = std::exchange(m_before_append, nullptr);
      before_append();
    }
    const LogOffset offset(m_records.size());
    m_records.push_back({offset, GetWallTime(), record});
    if (m_lost_responses == 0) return offset;
    --m_lost_responses;
    return MakeFailure(FailureCode::kTimeout, "the response was lost");
  }

  absl::StatusOr<std::vector<VmListRow>> GetVms() override { return m_vms; }

  std::vector<absl::StatusOr<std::string>> FetchFromAll(const std::vector<VmListRow>& vms,
                                                        const std::string& path) override {
    std::vector<absl::StatusOr<std::string>> responses;
    for (const VmListRow& vm : vms) {
      const auto found = m_responses.find(vm.vm.Get() + path);
      if (found == m_responses.end()) {
        responses.push_back(MakeFailure(FailureCode::kConnectFailed, "no response"));
      } else {
        responses.push_back(found->second);
      }
    }
    return responses;
  }

  void Wait(Duration time) override { m_clock.Advance(time); }
  TimePoint GetNow() const override { return m_clock.GetNow(); }
  WallTime GetWallTime() const override { return m_clock.GetWallTime(); }
  std::string GenerateId() override { return "id-" + std::to_string(++m_last_id); }

  bool m_is_log_down = false;
  int m_lost_responses = 0;
  int m_append_count = 0;
  // Called once before the next append, to simulate a concurrent publish by another operator.
  std::function<void()> m_before_append;
  std::vector<LogRecord> m_records;
  std::vector<VmListRow> m_vms;
  // Response bodies by VM id followed by the path.
  std::map<std::string, std::string> m_responses;

 private:
  VirtualClock m_clock;
  int m_last_id = 0;
};

}  // namespace plantain

#endif  // PLANTAIN_TESTS_FAKE_CTL_PLATFORM_H_

#include "document_fault.h"

namespace plantain {
namespace {

// Limits the size of log lines and publish errors caused by an invalid document.
constexpr size_t kMaxFaults = 50;
constexpr size_t kMaxFieldLength = 200;

}  // namespace

void DocumentFaults::Add(FailureCode code, int line, std::string_view field, std::string_view expected) {
  if (!m_code.has_value()) m_code = code;
  if (m_faults.size() >= kMaxFaults) {
    ++m_omitted;
    return;
  }
  m_faults.push_back({line, std::string(field.substr(0, kMaxFieldLength)), std::string(expected)});
}

absl::Status DocumentFaults::GetStatus() const {
  if (!m_code.has_value()) return absl::OkStatus();
  std::string text;
  for (const DocumentFault& fault : m_faults) {
    if (!text.empty()) text += "\n";
    text += m_file + ":" + std::to_string(fault.line) + ": " + fault.field + ": expected " + fault.expected;
  }
  if (m_omitted > 0) text += "\n" + m_file + ": " + std::to_string(m_omitted) + " further faults are not listed";
  return MakeFailure(*m_code, text);
}

}  // namespace plantain

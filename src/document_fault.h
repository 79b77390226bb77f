// Validation errors of a document, collected so that they are reported together.

#ifndef PLANTAIN_DOCUMENT_FAULT_H_
#define PLANTAIN_DOCUMENT_FAULT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "failure_type.h"

namespace plantain {

// One fault. Line 0 means that the line is not known.
struct DocumentFault {
  int line = 0;
  std::string field;
  std::string expected;
};

// A bounded list of faults in the form `file:line: field: expected ...`.
class DocumentFaults {
 public:
  explicit DocumentFaults(std::string_view file) : m_file(file) {}

  // Adds one fault. Line 0 means that the line is not known. The first fault determines the code of the status.
  void Add(FailureCode code, int line, std::string_view field, std::string_view expected);

  bool IsEmpty() const { return !m_code.has_value(); }

  // Returns the faults in the order added, as many as the list holds.
  const std::vector<DocumentFault>& GetFaults() const { return m_faults; }

  // Returns the number of faults that the list does not hold.
  size_t GetOmitted() const { return m_omitted; }

  // Returns OK if there is no fault, otherwise an error that lists them, one per line.
  absl::Status GetStatus() const;

 private:
  std::string m_file;
  std::vector<DocumentFault> m_faults;
  size_t m_omitted = 0;
  std::optional<FailureCode> m_code;
};

}  // namespace plantain

#endif  // PLANTAIN_DOCUMENT_FAULT_H_

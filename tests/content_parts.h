// Contents for tests of the quarantine.

#ifndef PLANTAIN_TESTS_CONTENT_PARTS_H_
#define PLANTAIN_TESTS_CONTENT_PARTS_H_

#include <string>
#include <vector>

#include "content_key.h"
#include "core_type.h"

namespace plantain {

// VM from which reports come.
inline const VmId kPeer("127.0.0.9");

// Returns the parts of a prompt with these names.
inline std::vector<ContentKey> MakeParts(const std::vector<std::string>& names) {
  std::vector<ContentKey> parts;
  for (const std::string& name : names) parts.push_back({ContentKind::kPromptPart, name});
  return parts;
}

}  // namespace plantain

#endif  // PLANTAIN_TESTS_CONTENT_PARTS_H_

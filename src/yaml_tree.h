// A tree of YAML nodes with line numbers. Limits on its size are checked while it is built.

#ifndef PLANTAIN_YAML_TREE_H_
#define PLANTAIN_YAML_TREE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "document_fault.h"

namespace plantain {

// One node. A map keeps its keys in source order; `keys[i]` belongs to `items[i]`.
struct YamlNode {
  enum class Kind { kNull, kScalar, kList, kMap };

  Kind kind = Kind::kNull;
  int line = 1;
  std::string scalar;
  // True for an unquoted scalar. Only such a scalar can be a number or a flag.
  bool is_plain = false;
  std::vector<std::string> keys;
  std::vector<YamlNode> items;
};

struct YamlLimits {
  size_t max_bytes = 1024 * 1024;
  size_t max_depth = 16;
  size_t max_nodes = 100'000;
};

// Reads one YAML document without anchors, aliases and tags. Returns false after adding a fault.
bool ReadYamlTree(std::string_view text, const YamlLimits& limits, YamlNode& root, DocumentFaults& faults);

}  // namespace plantain

#endif  // PLANTAIN_YAML_TREE_H_

#include "yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <sstream>

namespace plantain {
namespace {

// Thrown at the first event that violates a limit or rule, so that no further input is processed.
struct TreeError {
  FailureCode code;
  int line;
  std::string expected;
};

// Builds the tree from parser events.
class TreeBuilder : public YAML::EventHandler {
 public:
  TreeBuilder(const YamlLimits& limits, YamlNode& root) : m_limits(limits), m_root(root) {}

  void OnDocumentStart(const YAML::Mark& mark) override {
    if (m_documents++ > 0) Fail(FailureCode::kDocumentSyntax, mark, "a single YAML document");
  }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    AddNode(YamlNode::Kind::kNull, mark, "?", anchor, "");
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    Fail(FailureCode::kDocumentSyntax, mark, "no alias");
  }
  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                const std::string& value) override {
    AddNode(YamlNode::Kind::kScalar, mark, tag, anchor, value);
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    Open(AddNode(YamlNode::Kind::kList, mark, tag, anchor, ""), mark);
  }
  void OnSequenceEnd() override { m_open.pop_back(); }
  void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value) override {
    Open(AddNode(YamlNode::Kind::kMap, mark, tag, anchor, ""), mark);
  }
  void OnMapEnd() override { m_open.pop_back(); }

 private:
  [[noreturn]] static void Fail(FailureCode code, const YAML::Mark& mark, std::string expected) {
    throw TreeError{code, mark.line + 1, std::move(expected)};
  }

  void Open(YamlNode* node, const YAML::Mark& mark) {
    if (node == nullptr) Fail(FailureCode::kDocumentSyntax, mark, "a name as the key of a map");
    if (m_open.size() >= m_limits.max_depth) {
      Fail(FailureCode::kDocumentTooLarge, mark, "a depth of at most " + std::to_string(m_limits.max_depth));
    }
    m_open.push_back(node);
  }

  // Adds a node to the innermost open list or map. Returns null if the node is a key.
  //
  // Pointers to open nodes stay valid: a parent's list grows only after its open child is closed.
  YamlNode* AddNode(YamlNode::Kind kind, const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                    const std::string& value) {
    if (anchor != YAML::NullAnchor) Fail(FailureCode::kDocumentSyntax, mark, "no anchor");
    const bool is_untagged = tag.empty() || tag == "?" || tag == "!";
    if (!is_untagged) Fail(FailureCode::kDocumentSyntax, mark, "no tag");
    if (++m_nodes > m_limits.max_nodes) {
      Fail(FailureCode::kDocumentTooLarge, mark, "at most " + std::to_string(m_limits.max_nodes) + " items");
    }
    YamlNode* node = &m_root;
    if (!m_open.empty()) {
      YamlNode* parent = m_open.back();
      const bool is_key = parent->kind == YamlNode::Kind::kMap && parent->keys.size() == parent->items.size();
      if (is_key) {
        if (kind != YamlNode::Kind::kScalar) Fail(FailureCode::kDocumentSyntax, mark, "a name as the key of a map");
        parent->keys.push_back(value);
        return nullptr;
      }
      node = &parent->items.emplace_back();
    }
    node->kind = kind;
    node->line = mark.line + 1;
    node->scalar = value;
    node->is_plain = tag != "!";
    return node;
  }

  const YamlLimits& m_limits;
  YamlNode& m_root;
  std::vector<YamlNode*> m_open;
  size_t m_nodes = 0;
  size_t m_documents = 0;
};

// Returns the length of the UTF-8 sequence that begins at `text[at]`, or 0 if it is malformed.
size_t GetSequenceLength(std::string_view text, size_t at) {
  const auto lead = static_cast<unsigned char>(text[at]);
  if (lead < 0x80) return 1;
  size_t length = 0;
  if (lead >= 0xC2 && lead <= 0xDF) length = 2;
  if (lead >= 0xE0 && lead <= 0xEF) length = 3;
  if (lead >= 0xF0 && lead <= 0xF4) length = 4;
  if (length == 0 || at + length > text.size()) return 0;
  for (size_t i = 1; i < length; ++i) {
    if ((static_cast<unsigned char>(text[at + i]) & 0xC0) != 0x80) return 0;
  }
  return length;
}

// yaml-cpp guesses the encoding and replaces invalid sequences, so text that is not plain UTF-8 is rejected first.
bool IsPlainUtf8(std::string_view text, int& line) {
  line = 1;
  for (size_t at = 0; at < text.size();) {
    const char c = text[at];
    const bool is_control = static_cast<unsigned char>(c) < 0x20 && c != '\t' && c != '\n' && c != '\r';
    const size_t length = GetSequenceLength(text, at);
    if (is_control || c == 0x7F || length == 0) return false;
    if (c == '\n') ++line;
    at += length;
  }
  return true;
}

}  // namespace

bool ReadYamlTree(std::string_view text, const YamlLimits& limits, YamlNode& root, DocumentFaults& faults) {
  if (text.size() > limits.max_bytes) {
    faults.Add(FailureCode::kDocumentTooLarge, 0, "document", "at most " + std::to_string(limits.max_bytes) + " bytes");
    return false;
  }
  int line = 0;
  if (!IsPlainUtf8(text, line)) {
    faults.Add(FailureCode::kDocumentSyntax, line, "document", "UTF-8 text without control characters");
    return false;
  }
  try {
    std::istringstream in{std::string(text)};
    YAML::Parser parser(in);
    TreeBuilder builder(limits, root);
    while (parser.HandleNextDocument(builder)) {
    }
    return true;
  } catch (const TreeError& error) {
    faults.Add(error.code, error.line, "document", error.expected);
  } catch (const YAML::Exception& error) {
    faults.Add(FailureCode::kDocumentSyntax, std::max(error.mark.line, 0) + 1, "document", "YAML (" + error.msg + ")");
  }
  return false;
}

}  // namespace plantain

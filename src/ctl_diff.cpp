#include <algorithm>
#include <sstream>
#include <vector>

#include "ctl_config.h"

namespace plantain {
namespace {

// Limits the size of the longest-common-subsequence table. Larger texts are shown as fully removed and added.
constexpr size_t kMaxLcsTableCells = 4'000'000;

using Lines = std::vector<std::string>;

Lines SplitLines(const std::string& text) {
  Lines lines;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) lines.push_back(line);
  return lines;
}

// Returns the lengths of the longest common subsequences of all pairs of suffixes.
std::vector<std::vector<uint32_t>> MakeLcsTable(const Lines& before, const Lines& after) {
  std::vector<std::vector<uint32_t>> table(before.size() + 1, std::vector<uint32_t>(after.size() + 1));
  for (size_t i = before.size(); i-- > 0;) {
    for (size_t j = after.size(); j-- > 0;) {
      table[i][j] = before[i] == after[j] ? table[i + 1][j + 1] + 1 : std::max(table[i + 1][j], table[i][j + 1]);
    }
  }
  return table;
}

void AppendAll(std::ostringstream& out, char sign, const Lines& lines, size_t from) {
  for (size_t i = from; i < lines.size(); ++i) out << sign << " " << lines[i] << "\n";
}

}  // namespace

std::string DiffTexts(const std::string& before_text, const std::string& after_text) {
  if (before_text == after_text) return "";
  const Lines before = SplitLines(before_text);
  const Lines after = SplitLines(after_text);
  std::ostringstream out;
  size_t i = 0;
  size_t j = 0;
  if (before.size() * after.size() <= kMaxLcsTableCells) {
    const auto table = MakeLcsTable(before, after);
    while (i < before.size() && j < after.size()) {
      if (before[i] == after[j]) {
        ++i;
        ++j;
      } else if (table[i + 1][j] >= table[i][j + 1]) {
        out << "- " << before[i++] << "\n";
      } else {
        out << "+ " << after[j++] << "\n";
      }
    }
  }
  AppendAll(out, '-', before, i);
  AppendAll(out, '+', after, j);
  return out.str();
}

}  // namespace plantain

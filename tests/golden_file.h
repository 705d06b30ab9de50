// Access to the golden files in tests/golden/, which hold the exact bytes of messages, stored
// records and settings. A change of these bytes breaks workers, clients or records already stored.
#pragma once

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace magpie::testing {

// The path of a golden file; `name` is relative to tests/golden/.
inline std::string GoldenPath(const std::string& name) {
  return std::string(MAGPIE_GOLDEN_DIR) + "/" + name;
}

// The file's content without the final newline.
inline std::string GoldenText(const std::string& name) {
  std::ifstream file(GoldenPath(name), std::ios::binary);
  EXPECT_TRUE(file.is_open()) << "no golden file " << name;
  std::ostringstream text;
  text << file.rdbuf();
  std::string bytes = text.str();
  EXPECT_TRUE(bytes.ends_with('\n')) << name << " has no final newline";
  if (bytes.ends_with('\n')) bytes.pop_back();
  return bytes;
}

// The lines of a file that has one message or key per line.
inline std::vector<std::string> GoldenLines(const std::string& name) {
  std::istringstream text(GoldenText(name));
  std::vector<std::string> lines;
  for (std::string line; std::getline(text, line);) lines.push_back(line);
  return lines;
}

// Names a parameterised test after the `name` field of its parameter.
struct RowName {
  template <typename Info>
  std::string operator()(const Info& info) const {
    return info.param.name;
  }
};

}  // namespace magpie::testing

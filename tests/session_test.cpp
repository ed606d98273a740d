/// \file
/// Compares whole sessions with golden files. Set GUAVASAIL_RENEW_GOLDEN=1 to
/// regenerate the files.
#include "session.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace guavasail {

namespace {

std::string readFile(const std::filesystem::path &path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string> sessionNames() {
  std::vector<std::string> names;
  for (const auto &it : std::filesystem::directory_iterator(GOLDEN_DIR))
    if (it.path().extension() == ".session")
      names.push_back(it.path().stem().string());
  std::sort(names.begin(), names.end());
  return names;
}

class GoldenSession : public testing::TestWithParam<std::string> {};

TEST_P(GoldenSession, MatchesFile) {
  auto path = std::filesystem::path(GOLDEN_DIR) / (GetParam() + ".session");
  std::string golden = readFile(path);
  std::string actual = runSession(golden);
  if (std::getenv("GUAVASAIL_RENEW_GOLDEN"))
    std::ofstream(path) << actual;
  else
    EXPECT_EQ(golden, actual);
}

INSTANTIATE_TEST_SUITE_P(All, GoldenSession, testing::ValuesIn(sessionNames()),
                         [](const auto &it) { return it.param; });

} // namespace

} // namespace guavasail

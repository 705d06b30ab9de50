// Tests that invalid settings are rejected with an error that names the key.
#include "controller/settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace magpie::testing {
namespace {

const char kValidSettings[] = R"(
label = "n0"
site = "a"
api_addr = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
unknown = 3
[[members]]
label = "n1"
site = "b"
endpoint = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
count = 3
zones = ["a", "b"]
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[[cluster.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.88
[cluster.workers]
report_s = 3.0
lease_s = 18.0
cancel_s = 48.0
[cluster.state]
rps = 150.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 32
[cluster.cloud]
rps = 4.0
list_lag_s = 5.0
[cluster.resources]
sockets = 900
)";

std::string SettingsWithout(const std::string& line) {
  std::string text = kValidSettings;
  const auto position = text.find(line);
  return text.erase(position, line.size());
}

std::string ParseError(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const InvalidSettings& error) {
    return error.what();
  }
  return "";
}

class PropertyFile {
 public:
  explicit PropertyFile(const std::string& text)
      : path_(::testing::TempDir() + "magpie-" + std::to_string(getpid()) + ".properties") {
    std::ofstream(path_) << text;
  }
  ~PropertyFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

TEST(SettingsTest, ReadsKnownKeysAndIgnoresUnknownKeys) {
  const Settings settings = ParseSettings(kValidSettings);
  EXPECT_EQ(settings.label, "n0");
  EXPECT_EQ(settings.peers.at(0).peer_address.port, 8081);
  EXPECT_EQ(settings.teams.at(0).cpus_max, 8);
  EXPECT_EQ(settings.objectives.at(0).job_class, "");
  EXPECT_EQ(settings.max_transaction_operations, 32U);
  EXPECT_EQ(settings.lease.value, 18);
}

TEST(SettingsTest, ErrorsNameKey) {
  EXPECT_EQ(ParseError(SettingsWithout("state = \"10.2.0.1:2379\"\n")).substr(0, 15),
            "endpoints.state");
  EXPECT_EQ(ParseError(SettingsWithout("lease_s = 18.0\n")).substr(0, 23),
            "cluster.workers.lease_s");
  EXPECT_EQ(ParseError(SettingsWithout("name = \"red\"\n")).substr(0, 21), "cluster.teams[0].name");
  EXPECT_NE(ParseError("label = ").find("settings"), std::string::npos);
  std::string invalid = kValidSettings;
  invalid.replace(invalid.find("10.0.0.1:8080"), 13, "localhost:8080");
  EXPECT_EQ(ParseError(invalid).substr(0, 8), "api_addr");
}

TEST(PropertiesTest, ReadsKnownKeysAndRejectsInvalidOnes) {
  Settings settings = ParseSettings(kValidSettings);
  LoadProperties(PropertyFile("placement.alpha = 1.5\n# a remark\nfleet.headroom=2\n").path(),
                 settings);
  EXPECT_EQ(settings.weights.alpha, 1.5);
  EXPECT_EQ(settings.headroom, 2U);
  auto load_error = [&](const std::string& text) -> std::string {
    try {
      LoadProperties(PropertyFile(text).path(), settings);
    } catch (const InvalidSettings& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(load_error("placement.gamma = 1\n").substr(0, 15), "placement.gamma");
  EXPECT_EQ(load_error("fleet.idle_s = soon\n").substr(0, 12), "fleet.idle_s");
  EXPECT_EQ(load_error("fleet.idle_s = -1\n").substr(0, 12), "fleet.idle_s");
}

}  // namespace
}  // namespace magpie::testing

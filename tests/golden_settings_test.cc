// Checks each field decoded from the settings and properties files in tests/golden/settings/.
#include <ostream>

#include "controller/settings.h"
#include "golden_file.h"

namespace magpie::testing {
namespace {

Settings GoldenSettings() { return LoadSettings(GoldenPath("settings/service.toml")); }

void ExpectAddress(const Address& address, const std::string& host, int port) {
  EXPECT_EQ(address.host, host);
  EXPECT_EQ(address.port, port);
}

TEST(SettingsGoldenTest, ControllerIsDecoded) {
  const Settings settings = GoldenSettings();
  EXPECT_EQ(settings.label, "nestbox-0");
  EXPECT_EQ(settings.zone, "thrissur-core");
  ExpectAddress(settings.api_address, "10.0.0.1", 8080);
  ExpectAddress(settings.peer_address, "10.0.0.1", 8081);
  ExpectAddress(settings.cloud_address, "10.2.0.2", 8443);
  ExpectAddress(settings.store_address, "10.2.0.1", 2379);
}

TEST(SettingsGoldenTest, PeersAreDecoded) {
  const Settings settings = GoldenSettings();
  ASSERT_EQ(settings.peers.size(), 2U);
  EXPECT_EQ(settings.peers[0].label, "nestbox-1");
  EXPECT_EQ(settings.peers[0].zone, "kozhikode-north");
  ExpectAddress(settings.peers[0].peer_address, "10.0.0.2", 8082);
  EXPECT_EQ(settings.peers[1].label, "nestbox-2");
  EXPECT_EQ(settings.peers[1].zone, "kochi-port");
  ExpectAddress(settings.peers[1].peer_address, "10.0.0.3", 8083);
}

void ExpectTeam(const Team& team, const Team& expected) {
  EXPECT_EQ(team.name, expected.name);
  EXPECT_EQ(team.cpus, expected.cpus);
  EXPECT_EQ(team.cpus_max, expected.cpus_max);
  EXPECT_EQ(team.gpus, expected.gpus);
  EXPECT_EQ(team.gpus_max, expected.gpus_max);
}

TEST(SettingsGoldenTest, ZonesAndTeamsAreDecoded) {
  const Settings settings = GoldenSettings();
  const std::vector<std::string> zones{"kochi-port", "kozhikode-north", "palakkad-gap",
                                       "thrissur-core"};
  EXPECT_EQ(settings.zones, zones);
  ASSERT_EQ(settings.teams.size(), 2U);
  ExpectTeam(settings.teams[0], {"ledger-cell", 120, 240.5, 8, 16});
  ExpectTeam(settings.teams[1], {"calib-unit", 0, 0, 0, 0});
}

void ExpectObjective(const Objective& objective, const Objective& expected) {
  EXPECT_EQ(objective.kind, expected.kind);
  EXPECT_EQ(objective.job_class, expected.job_class);
  EXPECT_EQ(objective.limit, expected.limit);
  EXPECT_EQ(objective.share, expected.share);
  EXPECT_EQ(objective.deadline_factor, expected.deadline_factor);
}

TEST(SettingsGoldenTest, ObjectivesAreDecoded) {
  const Settings settings = GoldenSettings();
  ASSERT_EQ(settings.objectives.size(), 3U);
  ExpectObjective(settings.objectives[0], {"deadline", "hitlog-sort", {0}, 0.92, 1.5});
  ExpectObjective(settings.objectives[1], {"wait", "counter-desk", {1}, 0.95, 1});
  ExpectObjective(settings.objectives[2], {"guarantee", "", {5}, 0.88, 1});
}

TEST(SettingsGoldenTest, LimitsAreDecoded) {
  const Settings settings = GoldenSettings();
  EXPECT_EQ(settings.heartbeat_interval, Seconds{3});
  EXPECT_EQ(settings.lease, Seconds{45});
  EXPECT_EQ(settings.cancel_deadline, Seconds{75});
  EXPECT_EQ(settings.store_requests_per_s, 150);
  EXPECT_EQ(settings.store_writes_per_s, 25);
  EXPECT_EQ(settings.max_value_kib, 12);
  EXPECT_EQ(settings.max_transaction_operations, 32U);
  EXPECT_EQ(settings.cloud_requests_per_s, 10);
  EXPECT_EQ(settings.list_lag, Seconds{6});
  EXPECT_EQ(settings.max_memory_mb, 136);
  EXPECT_EQ(settings.max_sockets, 1800U);
}

// --- properties

struct PropertyCase {
  const char* name;
  double (*value)(const Settings&);
  double value_in_file;
  double default_value;
};
void PrintTo(const PropertyCase& property, std::ostream* out) { *out << property.name; }

class PropertiesGoldenTest : public ::testing::TestWithParam<PropertyCase> {};

TEST_P(PropertiesGoldenTest, IsReadFromFile) {
  Settings settings = GoldenSettings();
  LoadProperties(GoldenPath("settings/all.properties"), settings);
  EXPECT_EQ(GetParam().value(settings), GetParam().value_in_file);
}

TEST_P(PropertiesGoldenTest, HasDefaultWithoutFile) {
  EXPECT_EQ(GetParam().value(GoldenSettings()), GetParam().default_value);
}

INSTANTIATE_TEST_SUITE_P(
    All, PropertiesGoldenTest,
    ::testing::Values(
        PropertyCase{"LeaderLease",
                     [](const Settings& settings) { return settings.leader_lease.value; }, 4.5, 4},
        PropertyCase{"PlacementAlpha",
                     [](const Settings& settings) { return settings.weights.alpha; }, 1.4, 1.3},
        PropertyCase{"PlacementBeta",
                     [](const Settings& settings) { return settings.weights.beta; }, 1.1, 1},
        PropertyCase{"PlacementTargetFactor",
                     [](const Settings& settings) { return settings.weights.target_factor; }, 1.75,
                     1.5},
        PropertyCase{"FleetIdle",
                     [](const Settings& settings) { return settings.idle_timeout.value; }, 21.5,
                     20},
        PropertyCase{"FleetSilent",
                     [](const Settings& settings) { return settings.heartbeat_timeout.value; },
                     13.5, 12},
        PropertyCase{"FleetListEvery",
                     [](const Settings& settings) { return settings.list_interval.value; }, 2.5, 3},
        PropertyCase{"FleetBootPatience",
                     [](const Settings& settings) { return settings.boot_timeout_factor; }, 4.25,
                     4},
        PropertyCase{"FleetHeadroom",
                     [](const Settings& settings) { return 1.0 * settings.headroom; }, 3, 1},
        PropertyCase{"FleetHeadroomFor",
                     [](const Settings& settings) { return settings.headroom_duration.value; },
                     601.5, 600},
        PropertyCase{"FleetRefusedPause",
                     [](const Settings& settings) { return settings.provision_retry_delay.value; },
                     91.5, 90},
        PropertyCase{"FleetMostPerOrder",
                     [](const Settings& settings) { return 1.0 * settings.max_per_request; }, 49,
                     50}),
    RowName{});

}  // namespace
}  // namespace magpie::testing

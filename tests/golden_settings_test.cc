// The settings file and the properties, field by field, against tests/golden/settings/.
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

TEST(SettingsGoldenTest, ControllerIsReadFieldByField) {
  const Settings settings = GoldenSettings();
  EXPECT_EQ(settings.label, "nestbox-0");
  EXPECT_EQ(settings.zone, "thrissur-core");
  ExpectAddress(settings.api, "10.0.0.1", 8080);
  ExpectAddress(settings.peer_address, "10.0.0.1", 8081);
  ExpectAddress(settings.cloud, "10.2.0.2", 8443);
  ExpectAddress(settings.state, "10.2.0.1", 2379);
}

TEST(SettingsGoldenTest, MembersAreReadFieldByField) {
  const Settings settings = GoldenSettings();
  ASSERT_EQ(settings.others.size(), 2U);
  EXPECT_EQ(settings.others[0].label, "nestbox-1");
  EXPECT_EQ(settings.others[0].zone, "kozhikode-north");
  ExpectAddress(settings.others[0].peer_address, "10.0.0.2", 8082);
  EXPECT_EQ(settings.others[1].label, "nestbox-2");
  EXPECT_EQ(settings.others[1].zone, "kochi-port");
  ExpectAddress(settings.others[1].peer_address, "10.0.0.3", 8083);
}

void ExpectTeam(const Team& team, const Team& expected) {
  EXPECT_EQ(team.name, expected.name);
  EXPECT_EQ(team.cpus, expected.cpus);
  EXPECT_EQ(team.cpus_max, expected.cpus_max);
  EXPECT_EQ(team.gpus, expected.gpus);
  EXPECT_EQ(team.gpus_max, expected.gpus_max);
}

TEST(SettingsGoldenTest, ZonesAndTeamsAreReadFieldByField) {
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

TEST(SettingsGoldenTest, ObjectivesAreReadFieldByField) {
  const Settings settings = GoldenSettings();
  ASSERT_EQ(settings.objectives.size(), 3U);
  ExpectObjective(settings.objectives[0], {"deadline", "hitlog-sort", {0}, 0.92, 1.5});
  ExpectObjective(settings.objectives[1], {"wait", "counter-desk", {1}, 0.95, 1});
  ExpectObjective(settings.objectives[2], {"guarantee", "", {5}, 0.88, 1});
}

TEST(SettingsGoldenTest, LimitsAreReadFieldByField) {
  const Settings settings = GoldenSettings();
  EXPECT_EQ(settings.heartbeat_interval, Seconds{3});
  EXPECT_EQ(settings.lease, Seconds{45});
  EXPECT_EQ(settings.cancel, Seconds{75});
  EXPECT_EQ(settings.state_rps, 150);
  EXPECT_EQ(settings.write_rps, 25);
  EXPECT_EQ(settings.value_kb, 12);
  EXPECT_EQ(settings.txn_ops, 32U);
  EXPECT_EQ(settings.cloud_rps, 10);
  EXPECT_EQ(settings.list_lag, Seconds{6});
  EXPECT_EQ(settings.memory_mb, 136);
  EXPECT_EQ(settings.sockets, 1800U);
}

// --- properties

struct Property {
  const char* name;
  double (*value)(const Settings&);
  double with_file;
  double by_default;
};
void PrintTo(const Property& row, std::ostream* out) { *out << row.name; }

class PropertiesGoldenTest : public ::testing::TestWithParam<Property> {};

TEST_P(PropertiesGoldenTest, IsReadFromTheFile) {
  Settings settings = GoldenSettings();
  LoadProperties(GoldenPath("settings/all.properties"), settings);
  EXPECT_EQ(GetParam().value(settings), GetParam().with_file);
}

TEST_P(PropertiesGoldenTest, HasItsDefaultWithoutTheFile) {
  EXPECT_EQ(GetParam().value(GoldenSettings()), GetParam().by_default);
}

INSTANTIATE_TEST_SUITE_P(
    All, PropertiesGoldenTest,
    ::testing::Values(
        Property{"LeaderLease", [](const Settings& s) { return s.leader_lease.value; }, 4.5, 4},
        Property{"PlacementAlpha", [](const Settings& s) { return s.weights.alpha; }, 1.4, 1.3},
        Property{"PlacementBeta", [](const Settings& s) { return s.weights.beta; }, 1.1, 1},
        Property{"PlacementTargetFactor", [](const Settings& s) { return s.weights.target_factor; },
                 1.75, 1.5},
        Property{"FleetIdle", [](const Settings& s) { return s.idle.value; }, 21.5, 20},
        Property{"FleetSilent", [](const Settings& s) { return s.heartbeat_timeout.value; }, 13.5,
                 12},
        Property{"FleetListEvery", [](const Settings& s) { return s.list_interval.value; }, 2.5, 3},
        Property{"FleetBootPatience", [](const Settings& s) { return s.boot_timeout_factor; }, 4.25,
                 4},
        Property{"FleetHeadroom", [](const Settings& s) { return 1.0 * s.headroom; }, 3, 1},
        Property{"FleetHeadroomFor", [](const Settings& s) { return s.headroom_duration.value; },
                 601.5, 600},
        Property{"FleetRefusedPause",
                 [](const Settings& s) { return s.provision_retry_delay.value; }, 91.5, 90},
        Property{"FleetMostPerOrder", [](const Settings& s) { return 1.0 * s.max_per_request; }, 49,
                 50}),
    RowName{});

}  // namespace
}  // namespace magpie::testing

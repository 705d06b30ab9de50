// Machines that boot late, that never boot, and that boot within a second.
#include "provisioning/boot_time_estimator.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

constexpr Seconds kBoot{20};
const std::string kType = "small";

class BootTimeEstimatorTest : public ::testing::Test {
 protected:
  BootTimeEstimatorTest() { estimator.SetNominalTime(kType, kBoot); }
  void RecordBoots(double boot_time, int times = 5) {
    for (int i = 0; i < times; ++i) estimator.RecordBoot(kType, {boot_time}, now);
  }
  BootTimeEstimator estimator;
  Instant now{100};
};

TEST_F(BootTimeEstimatorTest, IgnoresFewOrOldBoots) {
  RecordBoots(1, 2);
  EXPECT_EQ(estimator.ExpectedTime(kType, now), kBoot);
  RecordBoots(1);
  EXPECT_EQ(estimator.ExpectedTime(kType, now), Seconds{1});
  EXPECT_EQ(estimator.LateAfter(kType, now), 2.5 * kBoot)
      << "a boot at the nominal time is not late after fast boots";
  EXPECT_EQ(estimator.ExpectedTime(kType, now + Seconds{200}), kBoot);
  EXPECT_EQ(estimator.ExpectedTime("unheard of", now), Seconds{60});
}

TEST_F(BootTimeEstimatorTest, LongPendingBootRaisesEstimate) {
  RecordBoots(1);
  EXPECT_FALSE(estimator.RecordWait(kType, {1.5}));
  EXPECT_TRUE(estimator.RecordWait(kType, {3}));
  EXPECT_EQ(estimator.ExpectedTime(kType, now), kBoot);
}

TEST_F(BootTimeEstimatorTest, AdaptsGiveUpTimeToSlowBoots) {
  const Seconds maximum{125};
  const Seconds give_up_after = estimator.GiveUpAfter(kType, {60}, maximum, now);
  EXPECT_EQ(give_up_after, Seconds{75});
  RecordBoots(70);
  EXPECT_EQ(estimator.ExpectedTime(kType, now), Seconds{70});
  EXPECT_GT(estimator.LateAfter(kType, now), Seconds{100});
  EXPECT_GE(estimator.GiveUpAfter(kType, {60}, maximum, now), estimator.LateAfter(kType, now));
  EXPECT_EQ(estimator.GiveUpAfter(kType, {600}, maximum, now), Seconds{600})
      << "min_billed is charged in any case";
}

// With a scheduler: a machine that never boots no longer counts as capacity, its work is planned
// elsewhere, and it is released without a burst of provisioning requests.
class MachineBootTest : public ClusterTest {
 protected:
  // Answers all pending cloud calls and returns the number of provisioning requests. The machines
  // boot later or never.
  int HandleCloudCalls(TestController& node) {
    int requests = 0;
    while (auto call = node.core.NextCloudCall(now)) {
      if (call->kind == CloudCall::Kind::kList) node.core.OnList({}, now);
      if (call->kind == CloudCall::Kind::kRelease) {
        released += call->release.size();
        node.core.OnReleased(*call, now);
      }
      if (call->kind != CloudCall::Kind::kProvision) continue;
      std::vector<MachineId> names;
      for (std::uint32_t i = 0; i < call->scale_out.count; ++i)
        names.push_back({"vm-" + std::to_string(++provisioned)});
      node.core.OnProvisioned(*call, names, now);
      ++requests;
    }
    return requests;
  }
  std::size_t released = 0;
  int provisioned = 0;
};

TEST_F(MachineBootTest, NeverBootingMachineIsReplacedAndReleased) {
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  Run(node, MakeJob("j-1"));
  int requests = 0;
  for (int i = 0; i < 240; ++i) {
    Settle(node, 1);
    requests += HandleCloudCalls(node);
    if (i == 80) {
      EXPECT_EQ(released, 0U) << "released before it was late enough to be given up";
    }
    AdvanceTime(0.5);
  }
  EXPECT_GE(provisioned, 2);
  EXPECT_LE(provisioned, 4) << "too many replacements provisioned";
  EXPECT_GE(released, 1U);
  EXPECT_EQ(requests, provisioned);
}

TEST_F(MachineBootTest, UrgentWorkProvisionsMachineAfterFastBoots) {
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  for (int i = 0; i < 8; ++i) {
    if (i < 4) Run(node, MakeJob("j-" + std::to_string(i), 2));
    Settle(node, 1);
    HandleCloudCalls(node);
    AdvanceTime(1);
    while (workers_.size() < static_cast<std::size_t>(provisioned))
      AddWorker("vm-" + std::to_string(workers_.size() + 1), "small");
    Settle(node);
  }
  ASSERT_EQ(CountLiveTasks(), 8U);
  JobSpec urgent = MakeJob("j-9", 2);
  urgent.deadline = Seconds{38};  // too early for a nominal boot, image fetch and 30 s to run
  const int provisioned_before = provisioned;
  Run(node, urgent);
  Settle(node, 1);
  HandleCloudCalls(node);
  EXPECT_GT(provisioned, provisioned_before);
}

}  // namespace
}  // namespace magpie::testing

// Machines that come up late, never, or within a second.
#include "provisioning/boot_time_estimator.h"
#include "test_cluster.h"

namespace magpie::testing {
namespace {

constexpr Seconds kBoot{20};
const std::string kType = "small";

class BootTimeEstimatorTest : public ::testing::Test {
 protected:
  BootTimeEstimatorTest() { estimator.SetNominalTime(kType, kBoot); }
  void Come(double took, int times = 5) {
    for (int i = 0; i < times; ++i) estimator.RecordBoot(kType, {took}, now);
  }
  BootTimeEstimator estimator;
  Instant now{100};
};

TEST_F(BootTimeEstimatorTest, NeedsSeveralBootsAndForgetsOldOnes) {
  Come(1, 2);
  EXPECT_EQ(estimator.ExpectedTime(kType, now), kBoot);
  Come(1);
  EXPECT_EQ(estimator.ExpectedTime(kType, now), Seconds{1});
  EXPECT_EQ(estimator.LateAfter(kType, now), 2.5 * kBoot) << "one that is not as quick is not late";
  EXPECT_EQ(estimator.ExpectedTime(kType, now + Seconds{200}), kBoot);
  EXPECT_EQ(estimator.ExpectedTime("unheard of", now), Seconds{60});
}

TEST_F(BootTimeEstimatorTest, PendingBootRaisesTheEstimate) {
  Come(1);
  EXPECT_FALSE(estimator.RecordWait(kType, {1.5}));
  EXPECT_TRUE(estimator.RecordWait(kType, {3}));
  EXPECT_EQ(estimator.ExpectedTime(kType, now), kBoot);
}

TEST_F(BootTimeEstimatorTest, WaitsForSlowBootsAndGivesUpOnLostOnes) {
  const Seconds maximum{125};
  const Seconds usual = estimator.GiveUpAfter(kType, {60}, maximum, now);
  EXPECT_EQ(usual, Seconds{75});
  Come(70);
  EXPECT_EQ(estimator.ExpectedTime(kType, now), Seconds{70});
  EXPECT_GT(estimator.LateAfter(kType, now), Seconds{100});
  EXPECT_GE(estimator.GiveUpAfter(kType, {60}, maximum, now), estimator.LateAfter(kType, now));
  EXPECT_EQ(estimator.GiveUpAfter(kType, {600}, maximum, now), Seconds{600})
      << "it is paid for anyway";
}

// In the world: the machine that never comes is counted no longer, its work is planned
// elsewhere, and it is returned without a storm of orders.
class MachineBootTest : public ClusterTest {
 protected:
  // Orders are filled with machines that come up after a while, or never.
  int Orders(TestController& node) {
    int orders = 0;
    while (auto call = node.core.NextCloudCall(now)) {
      if (call->kind == CloudCall::Kind::kList) node.core.OnList({}, now);
      if (call->kind == CloudCall::Kind::kRelease) {
        released += call->release.size();
        node.core.OnReleased(*call, now);
      }
      if (call->kind != CloudCall::Kind::kProvision) continue;
      std::vector<MachineId> names;
      for (std::uint32_t i = 0; i < call->scale_out.count; ++i)
        names.push_back({"vm-" + std::to_string(++rented)});
      node.core.OnProvisioned(*call, names, now);
      ++orders;
    }
    return orders;
  }
  std::size_t released = 0;
  int rented = 0;
};

TEST_F(MachineBootTest, MachineThatNeverBootsIsReplacedAndReleased) {
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  Run(node, MakeJob("j-1"));
  int orders = 0;
  for (int i = 0; i < 240; ++i) {
    Settle(node, 1);
    orders += Orders(node);
    if (i == 80) {
      EXPECT_EQ(released, 0U) << "not before it is late by far";
    }
    AdvanceTime(0.5);
  }
  EXPECT_GE(rented, 2);
  EXPECT_LE(rented, 4) << "no storm of orders";
  EXPECT_GE(released, 1U);
  EXPECT_EQ(orders, rented);
}

TEST_F(MachineBootTest, QuickBootsAreRentedForUrgentWork) {
  TestController& node = AddController("n0");
  ASSERT_TRUE(node.TakeOver(now));
  for (int i = 0; i < 8; ++i) {
    if (i < 4) Run(node, MakeJob("j-" + std::to_string(i), 2));
    Settle(node, 1);
    Orders(node);
    AdvanceTime(1);
    while (workers_.size() < static_cast<std::size_t>(rented))
      AddWorker("vm-" + std::to_string(workers_.size() + 1), "small");
    Settle(node);
  }
  ASSERT_EQ(CountLiveTasks(), 8U);
  JobSpec bindings_unpersisted = MakeJob("j-9", 2);
  bindings_unpersisted.deadline = Seconds{38};  // 30 to run: no usual boot and fetch could meet it
  const int before = rented;
  Run(node, bindings_unpersisted);
  Settle(node, 1);
  Orders(node);
  EXPECT_GT(rented, before);
}

}  // namespace
}  // namespace magpie::testing

#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace geraniumpond::fleet {

using fakes::PutPolicyCommand;

namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr const char* kUpstream = "10.0.0.1:7";
constexpr const char* kFollower = "10.0.0.8:7";

catalog::State CatalogOf(std::uint64_t aVersion)
{
  catalog::State catalog;
  for (std::uint64_t version = 1; version <= aVersion; ++version) {
    (void)catalog::Apply(catalog,
                         PutPolicyCommand(version, version - 1, "policy"));
  }
  return catalog;
}

wire::FleetMessage Reply()
{
  wire::FleetMessage message;
  message.set_from_address(kUpstream);
  wire::FollowReply& reply = *message.mutable_follow_reply();
  reply.set_in_touch(true);
  reply.set_control_term(1);
  reply.set_control_index(1);
  reply.add_control_addresses(kUpstream);
  return message;
}

} // namespace

/// \brief A host without a disk that receives a policy ahead of the commands
/// that precede it in the log.
class FleetPolicyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetPolicyTest);
  CPPUNIT_TEST(OlderSnapshotDoesNotReplaceAPolicySentAhead);
  CPPUNIT_TEST(FollowersGetAPolicySentAheadWithTheirSnapshot);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    Settings settings;
    settings.mPeerAddress = "10.0.0.5:7";
    settings.mIncarnation = 1;
    settings.mSeeds = { kUpstream };
    Output output;
    mHost = Open(settings, consensus::Recovered(), kStart, 1, output);
    DeliverSnapshot(1, 5);
    DeliverPolicyAhead(3);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), mHost.mCatalog.mVersion);
  }

  void OlderSnapshotDoesNotReplaceAPolicySentAhead()
  {
    DeliverSnapshot(2, 9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), mHost.mApplied);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), mHost.mCatalog.mVersion);
  }

  void FollowersGetAPolicySentAheadWithTheirSnapshot()
  {
    // In the second round the host already has a snapshot of the same index.
    for (const std::uint64_t ahead : { 4, 5 }) {
      DeliverPolicyAhead(ahead);
      const catalog::State sent = SentToANewFollower(ahead);
      CPPUNIT_ASSERT_EQUAL(ahead, sent.mVersion);
    }
  }

private:
  void Deliver(const wire::FleetMessage& aMessage)
  {
    Output output;
    Receive(mHost, kStart + kMillisecond, 1, aMessage, output);
  }

  void DeliverSnapshot(std::uint64_t aVersion, std::uint64_t aIndex)
  {
    wire::FleetMessage message = Reply();
    wire::FollowReply& reply = *message.mutable_follow_reply();
    reply.set_snapshot(catalog::Save(CatalogOf(aVersion)));
    reply.set_snapshot_index(aIndex);
    Deliver(message);
  }

  void DeliverPolicyAhead(std::uint64_t aVersion)
  {
    wire::FleetMessage message = Reply();
    *message.mutable_follow_reply()->mutable_policy() =
      CatalogOf(aVersion).mChange;
    Deliver(message);
  }

  catalog::State SentToANewFollower(std::uint64_t aIncarnation)
  {
    wire::FleetMessage report;
    report.set_from_address(kFollower);
    wire::Follow& follow = *report.mutable_follow();
    follow.mutable_host()->set_peer_address(kFollower);
    follow.mutable_host()->set_incarnation(aIncarnation);
    follow.set_compact(true);
    follow.set_policy_version(0);
    Output output;
    Receive(mHost, kStart + 2 * kMillisecond, 1, report, output);
    for (const auto& [to, message] : output.mMessages) {
      const std::string& packed = message.follow_reply().packed_snapshot();
      if (to == kFollower && !packed.empty()) {
        return catalog::Load(catalog::Decompress(packed).value()).value();
      }
    }
    return {};
  }

  State mHost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPolicyTest);

} // namespace geraniumpond::fleet

#include "fakes/fleet_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <random>

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
  CPPUNIT_TEST(FollowersGetAPolicyOnlyOnce);
  CPPUNIT_TEST(FollowersOfAnEarlierVersionGetPoliciesAsCommands);
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

  // A policy of a thousand routes takes a tenth of a second on a slow link.
  void FollowersGetAPolicyOnlyOnce()
  {
    DeliverCommand(6, 3);
    for (const std::uint64_t known : { 1, 3 }) {
      const wire::FollowReply reply = ReplyToFollowerAt(5, known);
      CPPUNIT_ASSERT_EQUAL(1, reply.commands_size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), reply.commands(0).index());
      CPPUNIT_ASSERT(reply.commands(0).command().empty());
      CPPUNIT_ASSERT_EQUAL(known < 3, reply.has_policy());
    }
  }

  void FollowersOfAnEarlierVersionGetPoliciesAsCommands()
  {
    DeliverCommand(6, 3);
    const wire::FollowReply reply = ReplyToFollowerAt(5, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(1, reply.commands_size());
    CPPUNIT_ASSERT(!reply.commands(0).command().empty());
    CPPUNIT_ASSERT(!reply.has_policy());
  }

private:
  void DeliverCommand(std::uint64_t aIndex, std::uint64_t aVersion)
  {
    // This host has a follower, so it keeps the commands.
    (void)ReplyToFollowerAt(5, 3);
    wire::FleetMessage message = Reply();
    wire::FollowReply& reply = *message.mutable_follow_reply();
    reply.set_commands_after(aIndex - 1);
    wire::CommittedCommand& command = *reply.add_commands();
    command.set_index(aIndex);
    command.set_command(
      PutPolicyCommand(aVersion, aVersion - 1, IncompressibleText())
        .SerializeAsString());
    Deliver(message);
    CPPUNIT_ASSERT_EQUAL(aIndex, mHost.mApplied);
  }

  static std::string IncompressibleText()
  {
    std::mt19937_64 random(1);
    std::string text;
    for (int i = 0; i < 2000; ++i) {
      text += static_cast<char>(random());
    }
    return text;
  }

  wire::FollowReply ReplyToFollowerAt(std::uint64_t aApplied,
                                      std::optional<std::uint64_t> aVersion)
  {
    wire::FleetMessage report;
    report.set_from_address(kFollower);
    wire::Follow& follow = *report.mutable_follow();
    follow.mutable_host()->set_peer_address(kFollower);
    follow.mutable_host()->set_incarnation(1);
    follow.set_compact(true);
    follow.set_applied(aApplied);
    if (aVersion) {
      follow.set_policy_version(*aVersion);
    }
    Output output;
    Receive(mHost, kStart + 2 * kMillisecond, 1, report, output);
    for (const auto& [to, message] : output.mMessages) {
      if (to == kFollower && message.has_follow_reply()) {
        return message.follow_reply();
      }
    }
    return {};
  }

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

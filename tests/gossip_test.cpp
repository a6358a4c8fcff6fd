#include <geraniumpond/gossip.h>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <memory>

namespace geraniumpond::gossip {

namespace {

constexpr Micros kStart = 1000 * kSecond;

Item Crash(const std::string& aKey, Micros aSeenAt = kStart)
{
  return { Kind::RequestCrash, aKey, "v1", aSeenAt };
}

/// \brief Hosts connected in a line, and the messages in flight between them.
struct Line
{
  explicit Line(std::size_t aHosts)
    : mStates(aHosts)
  {
    for (std::size_t i = 0; i < aHosts; ++i) {
      mStates[i].mIncarnation = 100 + i;
    }
    Join();
  }

  static std::string Name(std::size_t aHost) { return std::to_string(aHost); }

  void Join()
  {
    for (std::size_t i = 0; i < mStates.size(); ++i) {
      std::map<std::string, std::uint64_t> neighbours;
      for (const std::size_t other : { i - 1, i + 1 }) {
        if (other < mStates.size()) {
          neighbours[Name(other)] = mStates[other].mIncarnation;
        }
      }
      SetNeighbours(mStates[i], neighbours);
    }
  }

  void Send(std::size_t aFrom, const Output& aOutput)
  {
    for (const auto& [to, message] : aOutput.mMessages) {
      ++mSent;
      if (!mLose || !mLose()) {
        mInFlight.push_back({ aFrom, std::stoul(to), message });
      }
    }
  }

  // Advances time by one step and delivers the messages in flight.
  void Step()
  {
    mNow += 10 * kMillisecond;
    for (std::size_t i = 0; i < mStates.size(); ++i) {
      Output output;
      Tick(mStates[i], mNow, output);
      Send(i, output);
    }
    const auto arrived = std::exchange(mInFlight, {});
    for (const auto& [from, to, message] : arrived) {
      Output output;
      Receive(mStates[to], mNow, Name(from), message, output);
      Send(to, output);
    }
  }

  void Steps(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Step();
    }
  }

  [[nodiscard]] bool Has(std::size_t aHost, const std::string& aKey) const
  {
    return mStates[aHost].mEntries.count({ Kind::RequestCrash, aKey }) != 0;
  }

  struct Message
  {
    std::size_t mFrom;
    std::size_t mTo;
    wire::Gossip mMessage;
  };

  Micros mNow = kStart;
  std::vector<State> mStates;
  std::deque<Message> mInFlight;
  std::function<bool()> mLose;
  int mSent = 0;
};

} // namespace

class GossipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GossipTest);
  CPPUNIT_TEST(FactReachesAllHostsInOneDelayPerHop);
  CPPUNIT_TEST(FactReachesAllHostsDespiteMessageLoss);
  CPPUNIT_TEST(NothingIsSentOnceAllHostsHaveTheFact);
  CPPUNIT_TEST(RestartedHostIsSentFactsAgain);
  CPPUNIT_TEST(RestartedHostIsSentBackItsOwnFacts);
  CPPUNIT_TEST(LatestObservationWins);
  CPPUNIT_TEST(FactExpiresOnAllHostsAtAboutTheSameTime);
  CPPUNIT_TEST(OldestFactIsDroppedFirst);
  CPPUNIT_TEST(ManyFactsAreSplitIntoSeveralMessages);
  CPPUNIT_TEST(UnknownKindIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void FactReachesAllHostsInOneDelayPerHop()
  {
    Line line(6);
    CPPUNIT_ASSERT(Publish(line.mStates[0], line.mNow, Crash("a")));
    line.Steps(6);
    for (std::size_t i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT(line.Has(i, "a"));
    }
  }

  void FactReachesAllHostsDespiteMessageLoss()
  {
    Line line(6);
    int count = 0;
    line.mLose = [&count] { return ++count % 2 == 0; };
    (void)Publish(line.mStates[0], line.mNow, Crash("a"));
    (void)Publish(line.mStates[5], line.mNow, Crash("b"));
    line.Steps(1000);
    for (std::size_t i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT(line.Has(i, "a") && line.Has(i, "b"));
    }
  }

  void NothingIsSentOnceAllHostsHaveTheFact()
  {
    Line line(6);
    (void)Publish(line.mStates[0], line.mNow, Crash("a"));
    line.Steps(100);
    const int sent = line.mSent;
    // One message and one acknowledgement per hop.
    CPPUNIT_ASSERT_EQUAL(10, sent);
    line.Steps(1000);
    CPPUNIT_ASSERT_EQUAL(sent, line.mSent);
  }

  void RestartedHostIsSentFactsAgain()
  {
    Line line(3);
    (void)Publish(line.mStates[0], line.mNow, Crash("a"));
    line.Steps(100);
    line.mStates[2] = State();
    line.mStates[2].mIncarnation = 999;
    line.Join();
    line.Steps(2);
    CPPUNIT_ASSERT(line.Has(2, "a"));
  }

  void RestartedHostIsSentBackItsOwnFacts()
  {
    Line line(2);
    (void)Publish(line.mStates[1], line.mNow, Crash("a"));
    line.Steps(100);
    line.mStates[1] = State();
    line.mStates[1].mIncarnation = 999;
    line.Join();
    line.Steps(2);
    CPPUNIT_ASSERT(line.Has(1, "a"));
  }

  void LatestObservationWins()
  {
    State state;
    CPPUNIT_ASSERT(Publish(state, kStart, Crash("a", kStart - 20 * kSecond)));
    Item other = Crash("a", kStart - 30 * kSecond);
    other.mValue = "v0";
    CPPUNIT_ASSERT(!Publish(state, kStart, other));
    other.mObservedAt = kStart - 10 * kSecond;
    CPPUNIT_ASSERT(Publish(state, kStart, other));
    const Entry& entry = state.mEntries.at({ Kind::RequestCrash, "a" });
    CPPUNIT_ASSERT_EQUAL(std::string("v0"), entry.mItem.mValue);
  }

  void FactExpiresOnAllHostsAtAboutTheSameTime()
  {
    const Micros lifetime = KindLimitsOf(Kind::RequestCrash).mLifetime;
    Line line(3);
    (void)Publish(
      line.mStates[0], line.mNow, Crash("a", kStart - lifetime + 5 * kSecond));
    line.Steps(300);
    CPPUNIT_ASSERT(line.Has(0, "a") && line.Has(2, "a"));
    line.Steps(400);
    CPPUNIT_ASSERT(!line.Has(0, "a") && !line.Has(2, "a"));
  }

  void OldestFactIsDroppedFirst()
  {
    const std::size_t most = KindLimitsOf(Kind::RequestCrash).mMaxItems;
    State state;
    for (std::size_t i = 0; i <= most; ++i) {
      const Micros at = kStart + static_cast<Micros>(i);
      CPPUNIT_ASSERT(Publish(state, at, Crash(std::to_string(i), at)));
    }
    CPPUNIT_ASSERT_EQUAL(most, state.mEntries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), state.mDropped);
    CPPUNIT_ASSERT(state.mEntries.count({ Kind::RequestCrash, "0" }) == 0);
  }

  void ManyFactsAreSplitIntoSeveralMessages()
  {
    Line line(2);
    for (int i = 0; i < 500; ++i) {
      (void)Publish(line.mStates[0], line.mNow, Crash(std::to_string(i)));
    }
    line.Steps(50);
    CPPUNIT_ASSERT_EQUAL(std::size_t(500), line.mStates[1].mEntries.size());
  }

  void UnknownKindIsIgnored()
  {
    State state;
    wire::Gossip message;
    message.set_sender(7);
    message.set_up_to(3);
    message.add_items()->set_kind(kKindCount);
    Output output;
    Receive(state, kStart, "1", message, output);
    CPPUNIT_ASSERT(state.mEntries.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                         output.mMessages.at(0).second.taken_up_to());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTest);

} // namespace geraniumpond::gossip

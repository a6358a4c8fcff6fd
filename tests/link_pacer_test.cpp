#include "frontend/link_pacer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace geraniumpond::frontend {

namespace {

constexpr double kBytesPerSecond = 262500;
constexpr std::size_t kAnswerBytes = 90000;

/// \brief A connection that sends one large answer.
class Sender : public Handler
{
public:
  explicit Sender(LinkPacer& aPacer)
    : mPacer(aPacer)
  {
  }

  void OnReadable() override {}
  void OnWritable() override
  {
    while (mLeft > 0) {
      const std::size_t bytes = mPacer.Take(*this, mLeft);
      if (bytes == 0) {
        return;
      }
      mLeft -= bytes;
      mLargestPiece = std::max(mLargestPiece, bytes);
    }
  }

  std::size_t mLeft = kAnswerBytes;
  std::size_t mLargestPiece = 0;

private:
  LinkPacer& mPacer;
};

} // namespace

/// \brief Large answers on a slow link.
class LinkPacerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LinkPacerTest);
  CPPUNIT_TEST(LargeAnswersLeavePartOfTheLink);
  CPPUNIT_TEST(LargeAnswersTakeTurns);
  CPPUNIT_TEST(UnsentBytesAreAvailableAgain);
  CPPUNIT_TEST(FastLinkDoesNotHoldAnswersBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void LargeAnswersLeavePartOfTheLink()
  {
    LinkPacer pacer(kBytesPerSecond);
    CPPUNIT_ASSERT(pacer.IsLarge(kAnswerBytes));
    CPPUNIT_ASSERT(!pacer.IsLarge(9000));
    Sender sender(pacer);
    const Micros took = Run(pacer, { &sender });
    const double alone = kAnswerBytes / kBytesPerSecond * kSecond;
    CPPUNIT_ASSERT_GREATER(1.2 * alone, static_cast<double>(took));
    CPPUNIT_ASSERT_LESS(1.5 * alone, static_cast<double>(took));
    // Others wait for one piece at most.
    CPPUNIT_ASSERT_LESS(0.02 * kBytesPerSecond,
                        static_cast<double>(sender.mLargestPiece));
  }

  void LargeAnswersTakeTurns()
  {
    LinkPacer pacer(kBytesPerSecond);
    Sender first(pacer);
    Sender second(pacer);
    first.OnWritable();
    second.OnWritable();
    Micros now = kSecond;
    pacer.Tick(now);
    while (first.mLeft > 0 && second.mLeft > 0) {
      const std::size_t difference = std::max(first.mLeft, second.mLeft) -
                                     std::min(first.mLeft, second.mLeft);
      CPPUNIT_ASSERT(difference <= 2 * first.mLargestPiece);
      now += kMillisecond;
      pacer.Tick(now);
    }
  }

  void UnsentBytesAreAvailableAgain()
  {
    LinkPacer pacer(kBytesPerSecond);
    Sender sender(pacer);
    const std::size_t piece = pacer.Take(sender, kAnswerBytes);
    CPPUNIT_ASSERT(piece > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), pacer.Take(sender, kAnswerBytes));
    pacer.Return(piece);
    CPPUNIT_ASSERT_EQUAL(piece, pacer.Take(sender, kAnswerBytes));
    pacer.Remove(sender);
    CPPUNIT_ASSERT(pacer.NextTick() > 1000 * kSecond);
  }

  void FastLinkDoesNotHoldAnswersBack()
  {
    const LinkPacer pacer(125e6);
    CPPUNIT_ASSERT(!pacer.IsLarge(1000000));
    CPPUNIT_ASSERT_EQUAL(0, pacer.ReceiveBufferBytes());
  }

private:
  static Micros Run(LinkPacer& aPacer, const std::vector<Sender*>& aSenders)
  {
    Micros now = kSecond;
    aPacer.Tick(now);
    for (Sender* sender : aSenders) {
      sender->OnWritable();
    }
    const auto isDone = [](const Sender* aSender) {
      return aSender->mLeft == 0;
    };
    while (!std::all_of(aSenders.begin(), aSenders.end(), isDone)) {
      now = std::max(now, aPacer.NextTick());
      aPacer.Tick(now);
    }
    return now - kSecond;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkPacerTest);

} // namespace geraniumpond::frontend

#include "frontend/client_memory.h"
#include "frontend/connection_bounds.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace geraniumpond::frontend {

namespace {

constexpr std::uint64_t kMegabyte = 1024ULL * 1024;

// Lets a holder grow by a step; false, and nothing held by it, if it may not.
bool Grow(ClientMemory& aMemory, std::uint64_t& aHeld, std::uint64_t aStep)
{
  aMemory.Change(aHeld, aHeld + aStep);
  aHeld += aStep;
  if (!aMemory.MayHold(aHeld)) {
    aMemory.Change(aHeld, 0);
    aHeld = 0;
    return false;
  }
  return true;
}

} // namespace

/// \brief Tests how what a host may hold is divided among its connections.
class ClientMemoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ClientMemoryTest);
  CPPUNIT_TEST(OneBodyOfTheLargestSizeFitsTheSmallestHost);
  CPPUNIT_TEST(ManyGreedyHoldersStayBelowTheBound);
  CPPUNIT_TEST(SmallRequestIsTakenBesideManyGreedyHolders);
  CPPUNIT_TEST(WhatIsGivenBackMayBeHeldAgain);
  CPPUNIT_TEST(ConnectionsLeaveAQuarterOfTheDescriptors);
  CPPUNIT_TEST_SUITE_END();

public:
  void OneBodyOfTheLargestSizeFitsTheSmallestHost()
  {
    ClientMemory memory(MaxClientBytes(160 * kMegabyte));
    std::uint64_t held = 0;
    while (held < 64 * kMegabyte) {
      CPPUNIT_ASSERT(Grow(memory, held, kMegabyte / 16));
    }
  }

  void ManyGreedyHoldersStayBelowTheBound()
  {
    for (const std::size_t count : { 2, 24, 100, 1000, 4000 }) {
      ClientMemory memory(MaxClientBytes(160 * kMegabyte));
      PlayGreedy(memory, count);
      CPPUNIT_ASSERT(memory.HeldBytes() <= MaxClientBytes(160 * kMegabyte));
    }
  }

  void SmallRequestIsTakenBesideManyGreedyHolders()
  {
    for (const std::size_t count : { 2, 24, 100, 1000, 4000 }) {
      ClientMemory memory(MaxClientBytes(160 * kMegabyte));
      PlayGreedy(memory, count);
      std::uint64_t held = 0;
      CPPUNIT_ASSERT(Grow(memory, held, 1024));
    }
  }

  void WhatIsGivenBackMayBeHeldAgain()
  {
    ClientMemory memory(MaxClientBytes(0));
    std::uint64_t first = 0;
    while (Grow(memory, first, kMegabyte)) {
    }
    std::uint64_t second = 0;
    while (second < 64 * kMegabyte) {
      CPPUNIT_ASSERT(Grow(memory, second, kMegabyte));
    }
  }

  void ConnectionsLeaveAQuarterOfTheDescriptors()
  {
    for (const std::size_t count : { 16, 300, 1024, 4100, 20000 }) {
      const ConnectionBounds bounds = ConnectionBoundsFor(count);
      CPPUNIT_ASSERT(bounds.mClients > 0 && bounds.mCallers > 0);
      CPPUNIT_ASSERT(bounds.mClients + bounds.mCallers <= count - count / 4);
    }
  }

private:
  // Each goes on until it is refused once, in turns.
  static void PlayGreedy(ClientMemory& aMemory, std::size_t aCount)
  {
    constexpr std::uint64_t kStep = 4096;
    constexpr int kRounds = 4000;
    std::vector<std::uint64_t> held(aCount, 0);
    for (int round = 0; round < kRounds; ++round) {
      bool isRefused = false;
      for (std::uint64_t& one : held) {
        isRefused = !Grow(aMemory, one, kStep) || isRefused;
      }
      if (isRefused) {
        return;
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientMemoryTest);

} // namespace geraniumpond::frontend

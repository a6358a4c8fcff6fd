#include "held_bytes.h"

namespace geraniumpond::edge {

bool BodyMemory::Grow(std::uint64_t aBefore, std::uint64_t aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mMemory.Change(aBefore, aNow);
  if (mMemory.MayHold(aNow)) {
    return true;
  }
  mMemory.Change(aNow, aBefore);
  return false;
}

void BodyMemory::Release(std::uint64_t aBytes)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mMemory.Change(aBytes, 0);
}

HeldBytes::~HeldBytes()
{
  if (mMemory != nullptr) {
    mMemory->Release(mBytes);
  }
}

bool HeldBytes::Grow(BodyMemory& aMemory, std::uint64_t aNow)
{
  if (!aMemory.Grow(mBytes, aNow)) {
    return false;
  }
  mMemory = &aMemory;
  mBytes = aNow;
  return true;
}

} // namespace geraniumpond::edge

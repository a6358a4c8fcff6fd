#include "internal.h"

// Dispatches facts about requests and targets received from other hosts.
namespace geraniumpond::dispatch {

void HandleFact(State& aState,
                Micros aNow,
                const gossip::Item& aItem,
                Effects& aOut)
{
  switch (aItem.mKind) {
    case gossip::Kind::RequestCrash:
      HandleCrashFact(aState, aNow, aItem, aOut);
      break;
    case gossip::Kind::RequestAnswered:
      HandleAnswerFact(aState, aItem);
      break;
    case gossip::Kind::TargetLimit:
      HandleLimitFact(aState, aNow, aItem, aOut);
      break;
    case gossip::Kind::TargetWarmUp:
      HandleWarmUpFact(aState, aNow, aItem, aOut);
      break;
  }
}

} // namespace geraniumpond::dispatch

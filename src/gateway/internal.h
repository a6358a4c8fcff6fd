#pragma once

#include <geraniumpond/gateway.h>

/// \brief Steps that the gateway's sources share.
namespace geraniumpond::gateway {

/// \brief What one step works on.
struct Context
{
  State& mState;
  Micros mNow;
  Effects& mOut;

  void Log(int aLevel, std::string aText) const
  {
    mOut.emplace_back(dispatch::LogLine{ aLevel, std::move(aText) });
  }
};

// --- gateway.cpp

/// \brief Takes what a call of the fleet asks for over into the effects.
void TakeFleet(Context& aContext, fleet::Output aFleet);

// --- operations.cpp: calls of targets and operators

void TakeAnnounce(Context& aContext, const Announce& aCall);
void TakeWithdraw(Context& aContext, const Withdraw& aCall);
void TakePutPolicy(Context& aContext, const PutPolicy& aCall);
void TakeReadPolicy(Context& aContext, const ReadPolicy& aCall);
/// \brief Answers the call whose command has ended.
void EndOperation(Context& aContext, const fleet::Completion& aDone);
/// \brief Answers reads whose version this host holds, or whose time is up.
void AnswerReads(Context& aContext);

} // namespace geraniumpond::gateway

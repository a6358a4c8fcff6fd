#pragma once

#include "fakes/fleet_simulation.h"

#include <map>
#include <random>
#include <string>
#include <vector>

/// \brief Operators who evacuate data centres during a schedule, each one data
/// centre, and lift or repeat their orders.
namespace geraniumpond::fakes {

/// \brief Sends orders, some over links that hold or repeat them, and checks
/// what hosts know of them.
class EvacuationOperators
{
public:
  EvacuationOperators(FleetSimulation& aSimulation, std::uint64_t aSeed);

  /// \brief Takes the answers to orders, delivers held ones, and sends due
  /// orders to some of these hosts.
  void Poll(const std::vector<std::string>& aHosts);

  /// \brief True for an order that its link holds; it is delivered later.
  bool Holds(const SentMessage& aSent);

  /// \brief What a host shows that no order after the last acknowledged one
  /// asks for; empty for nothing.
  [[nodiscard]] std::string Undone(const std::string& aHost) const;

  /// \brief What a host lacks of the orders acknowledged up to this time; empty
  /// for nothing.
  [[nodiscard]] std::string Lacking(const std::string& aHost,
                                    Micros aAcknowledgedUntil) const;

  /// \brief Whether each operator has had an order acknowledged.
  [[nodiscard]] bool AllWereAcknowledged() const;

  /// Injected defect: orders are acknowledged before a quorum has them.
  bool mAcknowledgesEarly = false;
  /// Injected defect: late orders are not compared with what is in force.
  bool mIgnoresRevisions = false;
  /// What was ordered and answered since the lines were last taken.
  std::vector<std::string> mLogLines;

private:
  struct Order
  {
    bool mEvacuated = false;
    /// 0 while it is not acknowledged.
    Micros mAcknowledgedAt = 0;
    std::uint64_t mRevision = 0;
  };
  /// \brief A call to a host that has no answer yet.
  struct Call
  {
    std::string mHost;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mId = 0;
    std::uint64_t mBase = 0;
    Micros mStartedAt = 0;
  };
  struct Operator
  {
    std::string mDataCentre;
    std::vector<Order> mOrders;
    std::optional<Call> mCall;
    Micros mNextAt = 0;
  };

  void SendNext(Operator& aOperator, const std::string& aHost);
  void Submit(const Operator& aOperator, Call& aCall);
  void TakeAnswer(Operator& aOperator);
  void End(Operator& aOperator, const std::string& aOutcome);
  void AcknowledgeEarly(const SentMessage& aSent,
                        const wire::SetEvacuation& aOrder);
  void DeliverHeld();
  Micros RandomTime(Micros aBelow)
  {
    return static_cast<Micros>(mRandom() % static_cast<std::uint64_t>(aBelow));
  }

  FleetSimulation& mSimulation;
  std::mt19937_64 mRandom;
  std::vector<Operator> mOperators;
  /// Hosts whose links hold orders, and until when.
  std::map<std::string, Micros> mHeldUntil;
  std::multimap<Micros, SentMessage> mHeld;
};

} // namespace geraniumpond::fakes

#pragma once

#include "http_message.h"

#include <geraniumpond/gateway.h>

#include <string>
#include <variant>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Names of the header fields that hosts, clients and targets use.
struct FieldNames
{
  /// Identifies one request attempt of a client; targets echo it in answers.
  std::string mRequestId;
  /// Signature of the target in a successful answer. Empty if targets do not
  /// sign their answers.
  std::string mSignature;
  /// Milliseconds that the sender of a request waits for the answer.
  std::string mTimeout;
  /// Id of the only target that may run the request.
  std::string mExpectedTarget;
  /// In an answer: the target did not execute the request.
  std::string mNotRun;
  /// In an answer: id of the target.
  std::string mTargetId;
  /// In an answer: running and waiting requests, slots, and the current
  /// duration of requests as a percentage of the usual one.
  std::string mLoad;
  /// Milliseconds that a request spent at the host that passed it on to this
  /// one; not forwarded to targets.
  std::string mRelayedAfter = "Relayed-After-Ms";
  /// Bytes per second at which the host that passed a request on wants its
  /// answer; not forwarded to targets.
  std::string mAnswerPace = "Answer-Bytes-Per-Second";
  /// Name of the client account, and the identity of the request, at the host
  /// that passed it on; not forwarded to targets.
  std::string mRelayedAccount = "Relayed-Account";
  std::string mRelayedIdentity = "Relayed-Identity";
  /// Field in which clients send their key, and the scheme before it.
  std::string mAuthorization = "Authorization";
  std::string mKeyScheme = "Token";
  /// Name of the client account, for targets.
  std::string mAccount;
  /// In an answer: "1" if the target leaves.
  std::string mLeaving;
  /// In the answer to a probe: milliseconds for which the target is still cold.
  std::string mWarmUpLeft;
  /// In an answer: requests per second that the target accepts from all hosts
  /// together.
  std::string mLimit;
};

/// \brief API calls of hosts, targets and operators, as opposed to client
/// requests that are forwarded.
struct RegisterTargetCall
{
  wire::TargetRecord mRecord;
};
struct RemoveTargetCall
{
  wire::RemoveTarget mRemoval;
};
struct PutPolicyCall
{
  std::string mDocument;
};
struct ReadPolicyCall
{};
struct SetEvacuationCall
{
  std::string mDataCentre;
  bool mEvacuated = false;
};
struct ResolveCall
{
  gateway::Lookup mLookup{};
};
struct ReadinessCall
{};
struct MetricsCall
{};
/// \brief Lists suspected and quarantined requests with the evidence.
struct ListQuarantineCall
{};
struct ReleaseRequestCall
{
  std::uint64_t mIdentity = 0;
};
struct InvalidCall
{
  int mStatus = 404;
  std::string mReason;
};

using Call = std::variant<InvalidCall,
                          RegisterTargetCall,
                          RemoveTargetCall,
                          PutPolicyCall,
                          ReadPolicyCall,
                          SetEvacuationCall,
                          ResolveCall,
                          ReadinessCall,
                          MetricsCall,
                          ListQuarantineCall,
                          ReleaseRequestCall>;

/// \brief The HTTP conventions of one deployment: field names, the encoding of
/// calls and responses, and the policy format.
struct Dialect
{
  FieldNames mFieldNames;
  /// Parses a request as an API call.
  Call (*mParseCall)(const HttpRequest&) = nullptr;
  /// Builds the response to an operation.
  HttpResponse (*mMakeOperationResponse)(const gateway::AnswerOperation&) =
    nullptr;
  /// Builds the response to a lookup of host addresses; clients may cache it
  /// for `aTtl`.
  HttpResponse (*mMakeAddressResponse)(const std::vector<std::string>&,
                                       Micros aTtl) = nullptr;
  gateway::PolicyDecoder mDecodePolicy = nullptr;
};

} // namespace geraniumpond::frontend

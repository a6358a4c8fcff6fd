#pragma once

#include "http_message.h"

#include <geraniumpond/gateway.h>

#include <string>
#include <variant>
#include <vector>

namespace geraniumpond::frontend {

/// \brief Names of the header fields that hosts, clients and targets share.
struct FieldNames
{
  /// Names one attempt of a client; targets repeat it in their answers.
  std::string mRequestId;
  /// In a successful answer: the target vouches for it. Empty when targets
  /// have no such field.
  std::string mSignature;
  /// Milliseconds that the sender of a request waits.
  std::string mTimeout;
  /// Id of the only target that may run the request.
  std::string mExpectedTarget;
  /// In an answer: the target did not run the request.
  std::string mNotRun;
  /// In an answer: id of the target.
  std::string mTargetId;
  /// In an answer: running, waiting, slots, and percent of the usual time.
  std::string mLoad;
  /// In an answer: requests a second that the target takes from all hosts
  /// together.
  std::string mLimit;
};

/// \brief Calls that hosts, targets and operators make beside requests.
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
struct ResolveCall
{
  std::string mDataCentre;
};
struct ReadinessCall
{};
struct MetricsCall
{};
/// \brief Which requests are suspected or quarantined, and why.
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
                          ResolveCall,
                          ReadinessCall,
                          MetricsCall,
                          ListQuarantineCall,
                          ReleaseRequestCall>;

/// \brief How one deployment's parties speak: names and free functions.
struct Dialect
{
  FieldNames mFieldNames;
  /// Reads a call from a request.
  Call (*mParseCall)(const HttpRequest&) = nullptr;
  /// The answer to an operation.
  HttpResponse (*mMakeOperationResponse)(const gateway::AnswerOperation&) =
    nullptr;
  /// The answer to where a service's hosts are.
  HttpResponse (*mMakeAddressResponse)(const std::vector<std::string>&,
                                       Micros aTtl) = nullptr;
  gateway::PolicyDecoder mDecodePolicy = nullptr;
};

} // namespace geraniumpond::frontend

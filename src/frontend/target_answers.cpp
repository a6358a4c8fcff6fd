#include "target_answers.h"

#include "target_fields.h"

#include <optional>

namespace geraniumpond::frontend {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusMisdirected = 421;
constexpr int kFirstNonSuccessStatus = 300;

bool SaysLeaving(const HttpResponse& aResponse, const FieldNames& aNames)
{
  const std::string* value = FindField(aResponse.mFields, aNames.mLeaving);
  return value != nullptr && *value == "1";
}

bool IsRefusal(const HttpResponse& aResponse, const FieldNames& aNames)
{
  return aResponse.mStatus == kStatusMisdirected ||
         FindField(aResponse.mFields, aNames.mNotRun) != nullptr;
}

std::optional<dispatch::Report> ReportOf(const HttpResponse& aResponse,
                                         const FieldNames& aNames)
{
  const std::string* load = FindField(aResponse.mFields, aNames.mLoad);
  return load == nullptr ? std::nullopt : ParseLoad(*load);
}

} // namespace

bool AnswersAnotherRequest(const HttpResponse& aResponse,
                           const FieldNames& aNames,
                           const std::string& aRequestId)
{
  const std::string* id = FindField(aResponse.mFields, aNames.mRequestId);
  return id != nullptr && *id != aRequestId;
}

bool AnswersARequest(const HttpResponse& aResponse, const FieldNames& aNames)
{
  return FindField(aResponse.mFields, aNames.mRequestId) != nullptr;
}

// A truncated header section may look like a short answer. An answer to this
// request therefore has to carry its id, and a success has to be signed. A
// rejection may lack the id, as the target may not have read the request's
// fields.
bool IsCompleteAnswer(const HttpResponse& aResponse,
                      const FieldNames& aNames,
                      const std::string& aRequestId)
{
  const HeaderFields& fields = aResponse.mFields;
  const bool named = aRequestId.empty() || AnswersARequest(aResponse, aNames) ||
                     IsRefusal(aResponse, aNames);
  const bool isSigned = aResponse.mStatus >= kFirstNonSuccessStatus ||
                        aNames.mSignature.empty() ||
                        FindField(fields, aNames.mSignature) != nullptr;
  return named && isSigned;
}

bool IsUnnamedRefusal(const HttpResponse& aResponse, const FieldNames& aNames)
{
  return IsRefusal(aResponse, aNames) && !AnswersARequest(aResponse, aNames);
}

dispatch::ProbeEnd ProbeEndOf(const HttpResponse& aResponse,
                              const FieldNames& aNames)
{
  const std::string* answeredBy =
    FindField(aResponse.mFields, aNames.mTargetId);
  dispatch::ProbeEnd end;
  end.mAnswered = true;
  end.mHealthy = aResponse.mStatus == kStatusOk;
  end.mAnsweredBy = answeredBy == nullptr ? "" : *answeredBy;
  end.mReport = ReportOf(aResponse, aNames);
  end.mLimit = ParseLimit(aResponse.mFields, aNames.mLimit);
  end.mRest = ParseRest(aResponse, Poco::Timestamp());
  end.mWarmUpLeft = ParseWarmUp(aResponse.mFields, aNames.mWarmUpLeft);
  end.mLeaving = SaysLeaving(aResponse, aNames);
  return end;
}

dispatch::AttemptEnd AttemptEndOf(const HttpResponse& aResponse,
                                  const FieldNames& aNames)
{
  dispatch::AttemptEnd end;
  end.mKind = dispatch::EndKind::Answered;
  end.mStatus = aResponse.mStatus;
  end.mMisdirected = aResponse.mStatus == kStatusMisdirected;
  end.mNotRun = IsRefusal(aResponse, aNames);
  end.mBytes = aResponse.mBody.size();
  end.mReport = ReportOf(aResponse, aNames);
  end.mLimit = ParseLimit(aResponse.mFields, aNames.mLimit);
  end.mRest = ParseRest(aResponse, Poco::Timestamp());
  end.mLeaving = SaysLeaving(aResponse, aNames);
  if (end.mNotRun) {
    end.mReason = end.mMisdirected ? "address_taken" : "target_refused";
  }
  return end;
}

} // namespace geraniumpond::frontend

#pragma once

#include "dialect.h"
#include "http_message.h"

#include <geraniumpond/dispatch.h>

#include <string>

/// \brief What a complete HTTP answer of a target means.
namespace geraniumpond::frontend {

/// \brief True if an answer to an attempt is that of another request: it
/// arrived late, for an exchange that has ended.
[[nodiscard]] bool AnswersAnotherRequest(const HttpResponse& aResponse,
                                         const FieldNames& aNames,
                                         const std::string& aRequestId);

/// \brief The same for an answer to a probe.
[[nodiscard]] bool AnswersARequest(const HttpResponse& aResponse,
                                   const FieldNames& aNames);

/// \brief True if an answer to an attempt has the fields by which it is known
/// to be complete.
[[nodiscard]] bool IsCompleteAnswer(const HttpResponse& aResponse,
                                    const FieldNames& aNames,
                                    const std::string& aRequestId);

/// \brief True for a refusal that does not name its request: a late copy of it
/// passes for the refusal of any later one.
[[nodiscard]] bool IsUnnamedRefusal(const HttpResponse& aResponse,
                                    const FieldNames& aNames);

/// \brief Result of a probe that was answered; the target is not set.
[[nodiscard]] dispatch::ProbeEnd ProbeEndOf(const HttpResponse& aResponse,
                                            const FieldNames& aNames);

/// \brief Result of an attempt that was answered; request and attempt are not
/// set.
[[nodiscard]] dispatch::AttemptEnd AttemptEndOf(const HttpResponse& aResponse,
                                                const FieldNames& aNames);

} // namespace geraniumpond::frontend

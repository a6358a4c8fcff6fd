#pragma once

#include "dialect.h"

#include <geraniumpond/accounts.h>

#include <cstdint>
#include <optional>
#include <string>

/// \brief Header fields of requests: what clients and other hosts say in them,
/// and what is sent on.
namespace geraniumpond::frontend {

/// \brief Digest of the key that a client sends; none unless there is exactly
/// one field with the scheme and one key.
[[nodiscard]] std::optional<accounts::KeyDigest> ParseKey(
  const HeaderFields& aFields,
  const FieldNames& aNames);

/// \brief What another host says of a request that it passes on.
struct RelayFields
{
  /// The request has such a field.
  bool mAny = false;
  /// One of them is repeated or unreadable.
  bool mUnsound = false;
  /// Time that the request spent there.
  std::optional<Micros> mAfter;
  /// Pace at which the answer is wanted; 0 for none.
  double mBytesPerSecond = 0;
  std::string mAccount;
  std::optional<std::uint64_t> mIdentity;
};

[[nodiscard]] RelayFields ParseRelayFields(const HeaderFields& aFields,
                                           const FieldNames& aNames);

/// \brief How a request is sent on.
struct Forwarding
{
  /// Lines of the sender's own, each with its end.
  std::string mExtraFields;
  /// Time that is left for the answer.
  Micros mTimeout = 0;
  /// The key and what the client says of its account are left out.
  bool mHidesKey = false;
};

/// \brief The head of a request for a target or another host.
[[nodiscard]] std::string ForwardedHead(const HttpRequest& aRequest,
                                        const FieldNames& aNames,
                                        const Forwarding& aForwarding);

/// \brief The bytes of a request for a target or another host.
[[nodiscard]] std::string ForwardedBytes(const HttpRequest& aRequest,
                                         const FieldNames& aNames,
                                         const Forwarding& aForwarding);

} // namespace geraniumpond::frontend

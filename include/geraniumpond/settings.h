#pragma once

#include <geraniumpond/result.h>
#include <geraniumpond/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpond {

/// \brief One fault of a settings or deployment file.
struct Fault
{
  std::string mFile;
  int mLine = 0;
  std::string mKey;
  std::string mGiven;
  std::string mAllowed;
};

/// \brief One line of text: "file:line: key: given ..., allowed ...".
[[nodiscard]] std::string ToString(const Fault& aFault);

/// \brief The lines of the first faults, and how many more there are: the text
/// of all may be many times as long as the file.
[[nodiscard]] std::vector<std::string> FirstFaults(
  const std::vector<Fault>& aFaults);

/// \brief Another host as named in a settings file: "id@ip:port".
struct PeerAddress
{
  std::string mId;
  std::string mAddress;
};

/// \brief What one process reads at its start; see docs/OPERATIONS.md.
struct Settings
{
  std::string mId;
  std::string mDataCentre;
  bool mEntry = false;
  bool mControl = false;
  std::string mCallerAddress;
  std::string mAdminAddress;
  std::string mPeerAddress;
  std::string mDataFolder;
  std::vector<PeerAddress> mVoters;
  std::vector<PeerAddress> mSeeds;
  std::string mOperatorTokenSha256;
  Micros mAnswerKeep = 5 * kSecond;
  int mMaxConnections = 1000;
  /// Memory of the host; 0 if it is not known.
  std::uint64_t mMemoryBytes = 0;
  std::string mLogFormat;
  std::string mLogLevel;
};

/// \brief A parsed file, or every fault that it has.
template<class T>
struct Checked
{
  T mValue;
  std::vector<Fault> mFaults;

  [[nodiscard]] bool Ok() const noexcept { return mFaults.empty(); }
};

/// \brief Checks the text of a settings file; `aFile` is used in faults only.
[[nodiscard]] Checked<Settings> ParseSettings(std::string_view aText,
                                              const std::string& aFile);

} // namespace geraniumpond

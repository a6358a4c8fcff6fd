#pragma once

#include <geraniumpond/node.h>

#include <string>

/// \brief Read-only views of a host's state, as JSON or metrics text.
namespace geraniumpond::views {

/// \brief Access rights of a reader: an operator sees everything, a client
/// account only its own data.
struct Viewer
{
  bool mOperator = false;
  std::string mCaller;

  [[nodiscard]] bool CanSee(const std::string& aCaller) const noexcept
  {
    return mOperator || (!mCaller.empty() && mCaller == aCaller);
  }
};

/// \brief Looks up the viewer by the SHA-256 of its token; an unknown token
/// gives a viewer without rights.
[[nodiscard]] Viewer FindViewer(const node::State& aState,
                                const std::string& aTokenSha256);

/// \brief Entry host addresses for clients of a service, and their time to
/// live.
[[nodiscard]] std::string Entries(const node::State& aState,
                                  const std::string& aService);
[[nodiscard]] std::string Hosts(const node::State& aState, Micros aNow);
[[nodiscard]] std::string Targets(const node::State& aState,
                                  const Viewer& aViewer,
                                  Micros aNow);
[[nodiscard]] std::string Calls(const node::State& aState,
                                const Viewer& aViewer);
[[nodiscard]] std::string Budget(const node::State& aState, Micros aNow);

/// \brief Text and origin of a deployment version; 0 means the one in force.
[[nodiscard]] std::string Config(const node::State& aState,
                                 std::uint64_t aVersion);

/// \brief Latency series with their histograms, as input of `report burn`.
[[nodiscard]] std::string Burn(const node::State& aState,
                               const Viewer& aViewer,
                               Micros aNow);
[[nodiscard]] std::string Health(const node::State& aState);

/// \brief Prometheus text exposition format.
[[nodiscard]] std::string Metrics(const node::State& aState, Micros aNow);

} // namespace geraniumpond::views

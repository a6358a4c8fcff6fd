#pragma once

#include <geraniumpond/node.h>

#include <string>

/// \brief Read-only views of a host's state, as JSON or metrics text.
namespace geraniumpond::views {

/// \brief Who looks: the operator sees all, a caller only what is its own.
struct Viewer
{
  bool mOperator = false;
  std::string mCaller;

  [[nodiscard]] bool Sees(const std::string& aCaller) const noexcept
  {
    return mOperator || (!mCaller.empty() && mCaller == aCaller);
  }
};

/// \brief The viewer that a token's digest stands for; nobody by default.
[[nodiscard]] Viewer ViewerOf(const node::State& aState,
                              const std::string& aTokenSha256);

/// \brief Addresses that a caller of a service should use, and for how long.
[[nodiscard]] std::string Entries(const node::State& aState,
                                  const std::string& aService);
[[nodiscard]] std::string Hosts(const node::State& aState, Micros aNow);
[[nodiscard]] std::string Targets(const node::State& aState,
                                  const Viewer& aViewer,
                                  Micros aNow);
[[nodiscard]] std::string Calls(const node::State& aState,
                                const Viewer& aViewer);
[[nodiscard]] std::string Budget(const node::State& aState, Micros aNow);

/// \brief A deployment's text and origin; version 0 is the one in force.
[[nodiscard]] std::string Config(const node::State& aState,
                                 std::uint64_t aVersion);

/// \brief Series with their histograms, for `report burn` to merge.
[[nodiscard]] std::string Burn(const node::State& aState,
                               const Viewer& aViewer,
                               Micros aNow);
[[nodiscard]] std::string Health(const node::State& aState);

/// \brief Prometheus text exposition format.
[[nodiscard]] std::string Metrics(const node::State& aState, Micros aNow);

} // namespace geraniumpond::views

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <LibDocument/ServiceDocument.h>
#include <LibTable/TablePort.h>
#include <LibTime/Time.h>

namespace paddle {

enum class DataCentreState
{
  InService,
  Out
};

struct DataCentre
{
  std::string mName;
  std::string mRegion;
  DataCentreState mState = DataCentreState::InService;
};

/// The accepted configuration at one revision.
struct Configuration
{
  std::uint64_t mRevision = 0;
  std::map<std::string, ServiceDocument, std::less<>> mServices;
  std::map<std::string, DataCentre, std::less<>> mDataCentres;
};

/// Follows the accepted configuration in the table service; runs one thread.
/// All functions may be called from several threads.
class ConfigFollower
{
public:
  /// @param aPoll interval between reads of config/revision
  ConfigFollower(TablePort aTable, Millis aPoll);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  /// @return the newest configuration read, or null before the first read;
  ///         its revision never decreases
  [[nodiscard]] std::shared_ptr<const Configuration> Current() const;

  /// @return the time since the last successful read was sent, or nothing
  ///         before the first; the bound on how old Current() may be
  [[nodiscard]] std::optional<Millis> Age() const;

  /// @return whether the data centre is in service by a read that was sent at
  ///         most @p aOldest ago
  [[nodiscard]] bool ProvenInService(std::string_view aDataCentre,
                                     Millis aOldest) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace paddle

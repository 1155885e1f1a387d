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

/// Whether operators have taken a data centre out of service.
enum class DataCentreState
{
  InService,
  Out
};

/// A data centre of the deployment, as configured.
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
  std::map<std::string, ServiceDocument, std::less<>> mServices; ///< By name.
  std::map<std::string, DataCentre, std::less<>> mDataCentres;   ///< By name.
};

/// Keeps a copy of the accepted configuration up to date by polling the table
/// service on a thread of its own. While the table service can't be reached,
/// the last copy stays available and its age grows. All functions may be called
/// from several threads.
class ConfigFollower
{
public:
  /// @param aPollInterval wait between a poll of the row "config/revision" and
  ///                      the next
  ConfigFollower(TablePort aTable, Millis aPollInterval);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  /// @return the newest configuration read, or null before the first read;
  ///         its revision never decreases
  [[nodiscard]] std::shared_ptr<const Configuration> Current() const;

  /// @return an upper bound on the age of Current(): the time since the last
  ///         read that confirmed it was sent; nothing before the first read
  [[nodiscard]] std::optional<Millis> Age() const;

  /// @return whether a read that was sent at most @p aMaxAge ago confirms that
  ///         the data centre is in service
  [[nodiscard]] bool ConfirmedInService(std::string_view aDataCentre,
                                        Millis aMaxAge) const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace paddle

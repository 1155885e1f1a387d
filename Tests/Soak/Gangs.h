#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace paddle::soak {

/// The gangs whose members are on the runners. A gang works from the time when
/// all of its members are present; when one of them leaves before the work is
/// done, it is broken.
class Gangs
{
public:
  struct State
  {
    std::int64_t mCompleteMs = 0; ///< When all were present first; 0: never.
    std::int64_t mBrokenMs = 0;   ///< 0: it is not broken.
  };

  /// @param aGang identifies a run of a gang
  void Join(const std::string& aGang, std::int64_t aSize, std::int64_t aAtMs)
  {
    const std::lock_guard lock(mMutex);
    Gang& gang = mGangs[aGang];
    if (++gang.mPresent == aSize && gang.mState.mCompleteMs == 0) {
      gang.mState.mCompleteMs = aAtMs;
    }
  }

  /// @param aDone whether its work is done
  void Leave(const std::string& aGang, bool aDone, std::int64_t aAtMs)
  {
    const std::lock_guard lock(mMutex);
    Gang& gang = mGangs[aGang];
    --gang.mPresent;
    gang.mDone = gang.mDone || aDone;
    if (!gang.mDone && gang.mState.mCompleteMs != 0 &&
        gang.mState.mBrokenMs == 0) {
      gang.mState.mBrokenMs = aAtMs;
    }
  }

  [[nodiscard]] State Of(const std::string& aGang)
  {
    const std::lock_guard lock(mMutex);
    return mGangs[aGang].mState;
  }

private:
  struct Gang
  {
    std::int64_t mPresent = 0;
    bool mDone = false;
    State mState;
  };
  std::mutex mMutex;
  std::map<std::string, Gang> mGangs;
};

} // namespace paddle::soak

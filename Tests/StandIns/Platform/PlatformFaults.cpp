#include <StandIns/Platform/PlatformFaults.h>

namespace paddle {

void
PlatformFaults::SetOutage(bool aOn)
{
  std::lock_guard lock(mMutex);
  mOutage = aOn;
}

void
PlatformFaults::SetDelay(Millis aDelay)
{
  std::lock_guard lock(mMutex);
  mDelay = aDelay;
}

void
PlatformFaults::LoseAnswers(unsigned aCount)
{
  std::lock_guard lock(mMutex);
  mLostAnswers = aCount;
}

void
PlatformFaults::CutFrom(const std::vector<std::string>& aMembers, CutMode aMode)
{
  std::lock_guard lock(mMutex);
  mCut.clear();
  for (const std::string& member : aMembers) {
    mCut.emplace(member, aMode);
  }
}

RequestFate
PlatformFaults::FateByCut(std::string_view aMember) const
{
  std::lock_guard lock(mMutex);
  const auto found = mCut.find(aMember);
  if (found == mCut.end()) {
    return RequestFate::Serve;
  }
  return found->second == CutMode::Silent ? RequestFate::Silent
                                          : RequestFate::Refuse;
}

bool
PlatformFaults::Outage() const
{
  std::lock_guard lock(mMutex);
  return mOutage;
}

Millis
PlatformFaults::Delay() const
{
  std::lock_guard lock(mMutex);
  return mDelay;
}

bool
PlatformFaults::TakeLostAnswer()
{
  std::lock_guard lock(mMutex);
  if (mLostAnswers == 0) {
    return false;
  }
  --mLostAnswers;
  return true;
}

} // namespace paddle

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
  mAnswersToLose = aCount;
}

void
PlatformFaults::PartitionMembers(const std::vector<std::string>& aMembers,
                                 PartitionMode aMode)
{
  std::lock_guard lock(mMutex);
  mPartitionedMembers.clear();
  for (const std::string& member : aMembers) {
    mPartitionedMembers.emplace(member, aMode);
  }
}

RequestHandling
PlatformFaults::HandlingInPartition(std::string_view aMember) const
{
  std::lock_guard lock(mMutex);
  const auto found = mPartitionedMembers.find(aMember);
  if (found == mPartitionedMembers.end()) {
    return RequestHandling::Serve;
  }
  return found->second == PartitionMode::Silent ? RequestHandling::Silent
                                                : RequestHandling::Refuse;
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
PlatformFaults::ConsumeLostAnswer()
{
  std::lock_guard lock(mMutex);
  if (mAnswersToLose == 0) {
    return false;
  }
  --mAnswersToLose;
  return true;
}

} // namespace paddle

#include "Record.h"

#include <algorithm>

#include "Http.h"

namespace paddle::soak {

using review::SteadyMs;

Record::Record(const std::string& aPath)
  : mBeginMs(SteadyMs())
  , mFile(std::fopen(aPath.c_str(), "we"))
{
  if (mFile != nullptr) {
    std::setvbuf(mFile, nullptr, _IOLBF, 0);
  }
}

Record::~Record()
{
  if (mFile != nullptr) {
    std::fclose(mFile);
  }
}

std::string
Record::Time(std::int64_t aAtMs) const
{
  char text[32];
  std::snprintf(
    text, sizeof text, "%8.3f", static_cast<double>(aAtMs - mBeginMs) / 1000);
  return text;
}

void
Record::Put(std::int64_t aAtMs, const std::string& aText)
{
  std::fprintf(mFile, "%s %s\n", Time(aAtMs).c_str(), aText.c_str());
}

void
Record::Write(const std::string& aSubject, const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  const std::int64_t now = SteadyMs();
  mBySubject[aSubject].push_back({ now, aText });
  Put(now, aText);
}

void
Record::Print(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  Put(SteadyMs(), aText);
}

std::vector<Record::Line>
Record::About(const std::vector<std::string>& aSubjects)
{
  const std::lock_guard lock(mMutex);
  std::vector<Line> lines;
  for (const std::string& subject : aSubjects) {
    const auto found = mBySubject.find(subject);
    if (found != mBySubject.end()) {
      lines.insert(lines.end(), found->second.begin(), found->second.end());
    }
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const Line& aLeft, const Line& aRight) {
      return aLeft.mAtMs < aRight.mAtMs;
    });
  return lines;
}

std::size_t
Runs::Begin(Run aRun)
{
  const std::lock_guard lock(mMutex);
  mRuns.push_back(std::move(aRun));
  return mRuns.size() - 1;
}

void
Runs::End(std::size_t aIndex, const std::string& aHow, std::int64_t aAtMs)
{
  const std::lock_guard lock(mMutex);
  mRuns[aIndex].mEndedMs = aAtMs;
  mRuns[aIndex].mHow = aHow;
}

void
Runs::Note(std::size_t aIndex)
{
  const std::lock_guard lock(mMutex);
  mRuns[aIndex].mNotedMs = SteadyMs();
}

std::vector<Run>
Runs::All()
{
  const std::lock_guard lock(mMutex);
  return mRuns;
}

void
TroubleTimes::Begin(const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  mTimes.push_back({ aName, SteadyMs(), INT64_MAX });
}

void
TroubleTimes::End(const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  const auto open =
    std::find_if(mTimes.rbegin(), mTimes.rend(), [&](const TroubleTime& aTime) {
      return aTime.mName == aName && aTime.mUntilMs == INT64_MAX;
    });
  if (open != mTimes.rend()) {
    open->mUntilMs = SteadyMs();
  }
}

std::vector<TroubleTime>
TroubleTimes::All()
{
  const std::lock_guard lock(mMutex);
  return mTimes;
}

} // namespace paddle::soak

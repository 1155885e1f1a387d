#include "Record.h"

#include <algorithm>
#include <utility>

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
  const double seconds = static_cast<double>(aAtMs - mBeginMs) / 1000;
  std::snprintf(text, sizeof text, "%8.3f", seconds);
  return text;
}

void
Record::Write(const std::string& aSubject, const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  const std::int64_t now = SteadyMs();
  if (!aSubject.empty()) {
    mBySubject[aSubject].push_back({ now, aText });
  }
  std::fprintf(mFile, "%s %s\n", Time(now).c_str(), aText.c_str());
}

std::vector<Record::Line>
Record::About(const std::vector<std::string>& aSubjects)
{
  const std::lock_guard lock(mMutex);
  std::vector<Line> lines;
  for (const std::string& subject : aSubjects) {
    const std::vector<Line>& found = mBySubject[subject];
    lines.insert(lines.end(), found.begin(), found.end());
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const Line& aLeft, const Line& aRight) {
      return aLeft.mAtMs < aRight.mAtMs;
    });
  return lines;
}

std::size_t
Record::BeginRun(Run aRun)
{
  const std::lock_guard lock(mMutex);
  mRuns.push_back(std::move(aRun));
  return mRuns.size() - 1;
}

void
Record::EndRun(std::size_t aIndex, const std::string& aHow, std::int64_t aAtMs)
{
  const std::lock_guard lock(mMutex);
  mRuns[aIndex].mEndedMs = aAtMs;
  mRuns[aIndex].mHow = aHow;
}

void
Record::NoteRun(std::size_t aIndex)
{
  const std::lock_guard lock(mMutex);
  mRuns[aIndex].mNotedMs = SteadyMs();
}

std::vector<Run>
Record::Runs()
{
  const std::lock_guard lock(mMutex);
  return mRuns;
}

void
Record::BeginTrouble(const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  mTrouble.push_back({ aName, SteadyMs(), INT64_MAX });
}

void
Record::EndTrouble(const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  for (TroubleTime& time : mTrouble) {
    if (time.mName == aName && time.mUntilMs == INT64_MAX) {
      time.mUntilMs = SteadyMs();
    }
  }
}

std::vector<TroubleTime>
Record::Trouble()
{
  const std::lock_guard lock(mMutex);
  return mTrouble;
}

} // namespace paddle::soak

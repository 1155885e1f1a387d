#include "Jobs.h"

#include <array>
#include <cstdio>

namespace paddle::soak {

namespace {

/// Shapes of jobs, with how many of a hundred have them.
struct Shape
{
  const char* mName;
  int mShare;
};

constexpr Shape kShapes[] = {
  { "plain", 39 }, { "steps", 15 },       { "gang", 12 },
  { "repeat", 7 }, { "speculative", 26 }, { "long", 1 },
};

/// Long-running tasks take room until the end, so that there are few.
constexpr int kMaxLongRunning = 4;

std::string
DrawShape(Dice& aDice)
{
  std::int64_t drawn = aDice.Between(1, 100);
  for (const Shape& shape : kShapes) {
    drawn -= shape.mShare;
    if (drawn <= 0) {
      return shape.mName;
    }
  }
  return kShapes[0].mName;
}

std::string
FormatStep(Dice& aDice,
           std::int64_t aTasks,
           std::int64_t aDurationMs,
           const std::string& aMore)
{
  // Estimates below the duration let copies start sooner.
  return "{\"count\":" + std::to_string(aTasks) +
         ",\"cpu\":" + std::to_string(aDice.Between(5, 20) * 100) +
         ",\"mem_mb\":500,\"estimate_ms\":" +
         std::to_string(aDurationMs * aDice.Between(40, 120) / 100) + aMore +
         "}";
}

Job
DrawJob(Dice& aDice, int aNumber, const std::string& aShape)
{
  std::array<char, 17> id{};
  std::snprintf(id.data(), id.size(), "%016x", 0x50a00000U + aNumber);
  Job job;
  job.mId = id.data();
  job.mSpeculative = aShape == "speculative";
  job.mGang = aShape == "gang";
  job.mLongRunning = aShape == "long";
  job.mRepeated = aShape == "repeat";
  const std::int64_t durationMs = aDice.Between(200, 1200);
  const std::int64_t tasks =
    aDice.Between(1, aShape == "plain" || job.mSpeculative ? 8 : 4);
  std::string spec = "ms=" + std::to_string(durationMs);
  std::string steps;
  std::string schedule;
  if (job.mGang) {
    const std::int64_t members = tasks + 1;
    spec += " gang=" + std::to_string(members);
    steps = FormatStep(aDice, members, durationMs, ",\"gang\":true");
  } else if (job.mLongRunning) {
    spec = "ms=900000000";
    steps = FormatStep(aDice, tasks, 1000, ",\"long_running\":true");
  } else if (job.mSpeculative) {
    steps = FormatStep(aDice, tasks, durationMs, ",\"speculative\":true");
  } else {
    steps = FormatStep(aDice, tasks, durationMs, {});
  }
  if (aShape == "steps") {
    steps += "," + FormatStep(
                     aDice, aDice.Between(1, 4), durationMs, ",\"after\":[0]");
  }
  if (job.mRepeated) {
    schedule = ",\"repeat_count\":" + std::to_string(aDice.Between(2, 5)) +
               ",\"interval_ms\":" + std::to_string(aDice.Between(500, 3000));
  }
  job.mBody =
    "{\"spec\":\"" + spec + "\",\"steps\":[" + steps + "]" + schedule + "}";
  if (aDice.Chance(job.mLongRunning ? 50 : 6)) {
    job.mCancelAfterMs = aDice.Between(0, job.mLongRunning ? 20000 : 2500);
  }
  if (aDice.Chance(10)) {
    job.mResubmitAfterMs = aDice.Chance(50) ? 0 : aDice.Between(500, 8000);
  }
  return job;
}

} // namespace

std::vector<Job>
DrawJobs(Dice& aDice, std::int64_t aForMs)
{
  std::vector<Job> jobs;
  int longRunning = 0;
  int number = 0;
  std::int64_t pauseMs = 0;
  std::int64_t paceEndsMs = 0;
  for (std::int64_t atMs = 0; atMs < aForMs;
       atMs += aDice.Between(1, 2 * pauseMs)) {
    if (atMs >= paceEndsMs) {
      pauseMs = aDice.Between(70, 200);
      paceEndsMs = atMs + aDice.Between(3000, 10000);
    }
    std::string shape = DrawShape(aDice);
    if (shape == "long" && ++longRunning > kMaxLongRunning) {
      shape = "plain";
    }
    jobs.push_back(DrawJob(aDice, number++, shape));
    jobs.back().mSubmitAtMs = atMs;
  }
  return jobs;
}

} // namespace paddle::soak

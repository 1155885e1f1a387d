#include "Clients.h"

#include <utility>

#include "Http.h"

namespace paddle::soak {

using review::SteadyMs;

namespace {

constexpr int kThreads = 24;
constexpr int kMaxAttempts = 15;
constexpr std::int64_t kRetryMs = 300;
constexpr std::int64_t kAskMs = 600;
constexpr std::int64_t kCallTimeoutMs = 3000;
constexpr std::int64_t kAskTimeoutMs = 1000;

} // namespace

Clients::Clients(std::vector<Job> aJobs,
                 NodeProcesses& aNodes,
                 Record& aRecord,
                 Dice& aDice)
  : mNodes(aNodes)
  , mRecord(aRecord)
  , mDice(aDice)
  , mJobs(std::move(aJobs))
  , mTimers(kThreads)
{
}

void
Clients::Begin()
{
  const std::int64_t begin = SteadyMs();
  for (std::size_t i = 0; i < mJobs.size(); ++i) {
    mTimers.At(begin + mJobs[i].mSubmitAtMs, [this, i] { Submit(i, 1); });
  }
}

std::vector<Job>
Clients::End()
{
  mTimers.Stop();
  return mJobs;
}

int
Clients::Call(const char* aMethod,
              const Job& aJob,
              const std::string& aBody,
              std::int64_t aTimeoutMs,
              std::string* aAnswer)
{
  const auto last = static_cast<std::int64_t>(mNodes.size()) - 1;
  NodeProcess* node = nullptr;
  for (int draw = 0; draw < 2; ++draw) {
    node = mNodes[static_cast<std::size_t>(mDice.Between(0, last))].get();
    if (!node->mInTrouble) {
      break;
    }
  }
  const int status = review::Call(node->ClientPort(),
                                  aMethod,
                                  "desk.example",
                                  "/desk/" + aJob.mId,
                                  aBody,
                                  aTimeoutMs,
                                  aAnswer);
  if (aAnswer == nullptr) {
    mRecord.Write(aJob.mId,
                  std::string(aMethod) + " " + aJob.mId + " at " +
                    node->Name() + " status=" + std::to_string(status) + " " +
                    aBody);
  }
  return status;
}

void
Clients::Submit(std::size_t aJob, int aAttempt)
{
  Job& job = mJobs[aJob];
  if (Call("POST", job, job.mBody, kCallTimeoutMs) != 200) {
    if (aAttempt < kMaxAttempts) {
      mTimers.At(SteadyMs() + kRetryMs,
                 [this, aJob, aAttempt] { Submit(aJob, aAttempt + 1); });
    }
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    job.mAccepted = true;
  }
  const std::int64_t now = SteadyMs();
  mTimers.At(now + kAskMs, [this, aJob] { AskState(aJob); });
  if (job.mResubmitAfterMs >= 0) {
    mTimers.At(now + job.mResubmitAfterMs, [this, aJob] { Resubmit(aJob); });
  }
  if (job.mCancelAfterMs >= 0) {
    mTimers.At(now + job.mCancelAfterMs, [this, aJob] { Cancel(aJob, 1); });
  }
}

void
Clients::Resubmit(std::size_t aJob)
{
  Call("POST", mJobs[aJob], mJobs[aJob].mBody, kCallTimeoutMs);
}

void
Clients::Cancel(std::size_t aJob, int aAttempt)
{
  {
    const std::lock_guard lock(mMutex);
    mJobs[aJob].mCancelSent = true;
  }
  if (Call("DELETE", mJobs[aJob], {}, kCallTimeoutMs) != 200 &&
      aAttempt < kMaxAttempts) {
    mTimers.At(SteadyMs() + kRetryMs,
               [this, aJob, aAttempt] { Cancel(aJob, aAttempt + 1); });
  }
}

void
Clients::AskState(std::size_t aJob)
{
  Job& job = mJobs[aJob];
  std::string body;
  const int status = Call("GET", job, {}, kAskTimeoutMs, &body);
  const auto isState = [&](const char* aState) {
    return status == 200 && body.find(aState) != std::string::npos;
  };
  if (isState("completed")) {
    const std::lock_guard lock(mMutex);
    job.mCompletedMs = SteadyMs();
    mRecord.Write(job.mId, "shown as completed " + job.mId);
  } else if (isState("cancelled") || isState("failed")) {
    mRecord.Write(job.mId, "shown as " + body + " " + job.mId);
  } else {
    mTimers.At(SteadyMs() + kAskMs, [this, aJob] { AskState(aJob); });
  }
}

} // namespace paddle::soak

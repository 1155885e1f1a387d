#include <LibScheduler/WorkerLinks.h>

#include <algorithm>

#include <LibBase/Log.h>
#include <LibRpc/RpcClient.h>
#include <LibScheduler/WorkerJson.h>

namespace paddle {

namespace {

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

WorkerLinks::WorkerLinks(const SchedulerPorts& aPorts,
                         const LinkSettings& aSettings,
                         SchedulerRing& aEvents)
  : mPorts(aPorts)
  , mSettings(aSettings)
  , mEvents(aEvents)
{
  for (unsigned i = 0; i < mSettings.mGroups; ++i) {
    mGroups.push_back(std::make_unique<PollGroup>());
  }
  for (const auto& group : mGroups) {
    group->mThread = std::thread([this, &group = *group] { Run(group); });
  }
}

WorkerLinks::~WorkerLinks()
{
  Stop();
}

void
WorkerLinks::Stop()
{
  mStopping = true;
  for (const auto& group : mGroups) {
    {
      const std::lock_guard lock(group->mMutex);
      group->mWakeUp = true;
    }
    group->mChanged.notify_all();
    if (group->mThread.joinable()) {
      group->mThread.join();
    }
  }
}

WorkerLinks::PollGroup&
WorkerLinks::GroupOf(const Endpoint& aAddress)
{
  // The hash spreads neighbouring addresses over the groups. If a rack fails,
  // the time-outs of its workers are then shared by all poll threads.
  return *mGroups[StableHash(ToText(aAddress)) % mGroups.size()];
}

std::shared_ptr<WorkerLink>
WorkerLinks::Open(const std::string& aShard,
                  std::uint64_t aEpoch,
                  WorkerIndex aWorker,
                  const Endpoint& aAddress)
{
  auto link = std::make_shared<WorkerLink>();
  link->mShard = aShard;
  link->mEpoch = aEpoch;
  link->mWorker = aWorker;
  link->mAddress = aAddress;
  PollGroup& group = GroupOf(aAddress);
  {
    const std::lock_guard lock(group.mMutex);
    group.mLinks.push_back(link);
    group.mWakeUp = true;
  }
  group.mChanged.notify_one();
  return link;
}

void
WorkerLinks::Close(WorkerLink& aLink)
{
  const std::lock_guard lock(aLink.mMutex);
  aLink.mClosed = true;
  aLink.mCommands.clear();
}

void
WorkerLinks::Send(WorkerLink& aLink, Action aCommand)
{
  {
    const std::lock_guard lock(aLink.mMutex);
    aLink.mCommands.push_back(std::move(aCommand));
  }
  PollGroup& group = GroupOf(aLink.mAddress);
  {
    const std::lock_guard lock(group.mMutex);
    group.mWakeUp = true;
  }
  group.mChanged.notify_one();
}

void
WorkerLinks::SetPlan(WorkerLink& aLink, PollPlan aPlan)
{
  const std::lock_guard lock(aLink.mMutex);
  aLink.mPlan = std::move(aPlan);
}

void
WorkerLinks::Run(PollGroup& aGroup)
{
  // The longest time that the thread sleeps before it looks for due polls.
  constexpr Millis kMaxSleep{ 20 };
  while (!mStopping) {
    std::vector<std::shared_ptr<WorkerLink>> links;
    {
      std::unique_lock lock(aGroup.mMutex);
      aGroup.mChanged.wait_for(lock, kMaxSleep, [&] { return aGroup.mWakeUp; });
      aGroup.mWakeUp = false;
      std::erase_if(aGroup.mLinks, [](const auto& aLink) {
        const std::lock_guard linkLock(aLink->mMutex);
        return aLink->mClosed;
      });
      links = aGroup.mLinks;
    }
    for (const auto& link : links) {
      if (!mStopping) {
        Serve(*link);
      }
    }
  }
}

void
WorkerLinks::Serve(WorkerLink& aLink)
{
  Actions commands;
  {
    const std::lock_guard lock(aLink.mMutex);
    if (aLink.mClosed) {
      return;
    }
    commands.swap(aLink.mCommands);
  }
  ++mLinksInService;
  if (!commands.empty()) {
    SendCommands(aLink, commands);
  }
  if (aLink.mNextPoll <= Now()) {
    Poll(aLink);
  }
  --mLinksInService;
}

Outcome<Json::Value>
WorkerLinks::Call(const WorkerLink& aLink,
                  const char* aMethod,
                  const Json::Value& aParameters)
{
  const auto ownership = mPorts.mLease.mOwns(aLink.mShard);
  if (!ownership || ownership->mEpoch != aLink.mEpoch) {
    return Error{ ErrorKind::Unavailable, "the shard's lease does not hold" };
  }
  // A request on a reused connection may be delivered twice. That does no harm
  // to the tasks: starts carry the attempt and a token, and the other requests
  // are idempotent. But the answer to a start must belong to the only delivery
  // of that start, so a start uses a new connection.
  const bool start = std::string_view(aMethod) == "worker.start";
  return CallRpc(*mPorts.mClient,
                 aLink.mAddress,
                 aMethod,
                 aParameters,
                 mSettings.mTimeout,
                 start ? ConnectionUse::Fresh : ConnectionUse::Reusable);
}

void
WorkerLinks::SendCommands(WorkerLink& aLink, const Actions& aCommands)
{
  std::vector<StartTask> starts;
  TaskAttempts stops;
  TaskAttempts checkpoints;
  TaskAttempts throttles[2];
  for (const Action& command : aCommands) {
    if (const auto* start = std::get_if<StartTask>(&command)) {
      starts.push_back(*start);
    } else if (const auto* stop = std::get_if<StopTask>(&command)) {
      stops.emplace_back(stop->mJob, stop->mAttempt);
    } else if (const auto* checkpoint = std::get_if<CheckpointTask>(&command)) {
      checkpoints.emplace_back(checkpoint->mJob, checkpoint->mAttempt);
    } else if (const auto* throttle = std::get_if<ThrottleTask>(&command)) {
      throttles[throttle->mThrottled ? 1 : 0].emplace_back(throttle->mJob,
                                                           throttle->mAttempt);
    }
  }
  // Failures are ignored here: the placement thread repeats the commands, or
  // the next reports show their effect.
  if (!checkpoints.empty()) {
    Call(aLink, "worker.checkpoint", TaskParameters(aLink.mEpoch, checkpoints));
  }
  for (const int throttled : { 0, 1 }) {
    if (!throttles[throttled].empty()) {
      Json::Value parameters =
        TaskParameters(aLink.mEpoch, throttles[throttled]);
      parameters["throttled"] = throttled == 1;
      Call(aLink, "worker.throttle", parameters);
    }
  }
  if (!stops.empty()) {
    Call(aLink, "worker.stop", TaskParameters(aLink.mEpoch, stops));
  }
  if (!starts.empty()) {
    SendStarts(aLink, starts);
  }
}

void
WorkerLinks::SendStarts(WorkerLink& aLink,
                        const std::vector<StartTask>& aStarts)
{
  const auto result =
    Call(aLink,
         "worker.start",
         StartParameters(aLink.mEpoch, mSettings.mTaskLease, aStarts));
  std::vector<StartAnswer> answers(aStarts.size(), StartUnknown{});
  if (Succeeded(result)) {
    answers = StartAnswersFromJson(ValueOf(result), aStarts.size());
  } else if (ErrorOf(result).mKind == ErrorKind::Unavailable ||
             ErrorOf(result).mKind == ErrorKind::Conflict) {
    answers.assign(aStarts.size(), StartRejected{ ErrorOf(result).mMessage });
  }
  for (std::size_t i = 0; i < aStarts.size(); ++i) {
    PushEvent(StartAnswerEvent{ aLink.mShard,
                                aLink.mEpoch,
                                aLink.mWorker,
                                aStarts[i].mJob,
                                aStarts[i].mAttempt,
                                answers[i] });
  }
}

void
WorkerLinks::Poll(WorkerLink& aLink)
{
  PollPlan plan;
  {
    const std::lock_guard lock(aLink.mMutex);
    plan = aLink.mPlan;
  }
  const auto result =
    Call(aLink,
         "worker.report",
         ReportParameters(aLink.mEpoch, mSettings.mTaskLease, plan));
  const MonotonicTime received = Now();
  aLink.mNextPoll =
    received + (Succeeded(result) ? mSettings.mPollInterval
                                  : mSettings.mUnansweredPollInterval);
  if (!Succeeded(result)) {
    mPorts.mMetrics->Count("worker_polls_failed");
    return;
  }
  mPorts.mMetrics->Count("worker_polls");
  try {
    PushEvent(ReportEvent{ aLink.mShard,
                           aLink.mEpoch,
                           aLink.mWorker,
                           ReportFromJson(ValueOf(result)),
                           received });
  } catch (const Json::Exception& e) {
    LogEvent(LogLevel::Error,
             "worker_report_malformed",
             { { "worker", ToText(aLink.mAddress) }, { "why", e.what() } });
  }
}

void
WorkerLinks::PushEvent(SchedulerEvent aEvent)
{
  // An event that the full ring refuses is lost. The worker's next report
  // gives the same information.
  if (mEvents.TryPush(std::move(aEvent)) != PushResult::Accepted) {
    mPorts.mMetrics->Count("placement_ring_full");
  }
}

} // namespace paddle
